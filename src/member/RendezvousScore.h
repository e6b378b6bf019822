#pragma once

#include <cstdint>
#include <string>

namespace Auburnpost::Member {

/// @return the hash of a name, the same on every host.
std::uint64_t rendezvousHash(const std::string& name, std::uint64_t seed);

/// @return the weighted rendezvous score of a host for a key: the chance to be the highest is proportional to the
/// weight.
double rendezvousScore(std::uint64_t hostHash, std::uint64_t keyHash, double weight);

} // namespace Auburnpost::Member
