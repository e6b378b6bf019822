#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"

#include <netinet/in.h>

namespace Auburnpost::Wire {

/// Ignores SIGPIPE, so that a write to a closed connection returns an error instead of ending the process.
void ignoreBrokenPipe();

/// Makes a connection send small messages at once, and fail once the other side has not acknowledged anything for a
/// while.
void setTcpOptions(int descriptor);

/// @return the number of sent bytes that the peer's host has not acknowledged; 0 for a socket that failed.
std::size_t unacknowledgedBytes(int descriptor);

/// @return the address as a socket address structure.
sockaddr_in toSockaddr(const SocketAddress&);
/// @return the address in a socket address structure.
SocketAddress fromSockaddr(const sockaddr_in&);
/// @return the address that the socket is bound to, with the port that the kernel chose.
SocketAddress boundAddress(int descriptor);

} // namespace Auburnpost::Wire
