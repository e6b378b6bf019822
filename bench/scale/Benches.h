#pragma once

namespace Auburnpost::Bench {

/// Prints what gossip costs per host and how long news takes, against the number of hosts.
void benchMembership();
/// Prints how long placement takes and how many homes a lost host moves.
void benchPlacement();
/// Prints what a shared cool-down changes against the plain retry budget.
void benchCooldown();

} // namespace Auburnpost::Bench
