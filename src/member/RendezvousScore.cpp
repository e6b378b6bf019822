#include "member/RendezvousScore.h"

#include <cmath>
#include <xxhash.h>

namespace Auburnpost::Member {

std::uint64_t rendezvousHash(const std::string& name, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

double rendezvousScore(std::uint64_t hostHash, std::uint64_t keyHash, double weight)
{
    const std::uint64_t mixed = XXH3_64bits_withSeed(&hostHash, sizeof hostHash, keyHash);
    constexpr double mantissaScale = 0x1.0p-53;
    const double uniform = (static_cast<double>(mixed >> 11U) + 0.5) * mantissaScale;
    return -weight / std::log(uniform);
}

} // namespace Auburnpost::Member
