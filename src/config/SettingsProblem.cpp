#include "config/SettingsProblem.h"

namespace Auburnpost::Config {

std::string SettingsProblem::describe() const
{
    std::string text = file;
    if (line > 0)
        text += ":" + std::to_string(line);
    return text + ": " + key + ": " + message;
}

} // namespace Auburnpost::Config
