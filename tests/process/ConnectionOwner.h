#pragma once

#include <cstdint>
#include <sys/types.h>
#include <vector>

namespace Auburnpost::Test {

/// Finds out which process holds a connection over 127.0.0.1, as the line protocol does not name the host.
/// @param remotePort port of the connection's other end.
/// @param candidates processes that may hold it.
/// @return index of the process, or the number of candidates if none holds it.
std::size_t findConnectionOwner(
    std::uint16_t remotePort, std::uint16_t localPort, const std::vector<pid_t>& candidates);

} // namespace Auburnpost::Test
