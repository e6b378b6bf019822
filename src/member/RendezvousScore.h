#pragma once

#include <cstdint>
#include <string>

namespace Auburnpost::Member {

/// @return the hash of @p name, which is the same on every host.
std::uint64_t rendezvousHash(const std::string& name, std::uint64_t seed);

/// @return the weighted rendezvous score of a host for a key. The probability of being the highest score is
/// proportional to @p weight.
double rendezvousScore(std::uint64_t hostHash, std::uint64_t keyHash, double weight);

} // namespace Auburnpost::Member
