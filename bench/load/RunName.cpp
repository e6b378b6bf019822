#include "load/RunName.h"

#include <chrono>

namespace Auburnpost::Load {

std::string makeRunName(std::uint64_t seed)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return "r" + std::to_string(seed) + "-" + std::to_string(milliseconds);
}

} // namespace Auburnpost::Load
