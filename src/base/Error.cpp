#include "base/Error.h"

namespace Auburnpost {

std::string Error::describe() const
{
    std::string text(toString(code));
    text += " at " + step;
    if (!peer.empty())
        text += " with " + peer;
    if (!message.empty())
        text += ": " + message;
    return text;
}

} // namespace Auburnpost
