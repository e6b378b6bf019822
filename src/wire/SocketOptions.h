#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"

#include <netinet/in.h>

namespace Auburnpost::Wire {

/// Makes a write to a closed connection an error in place of a signal that ends the process.
void ignoreBrokenPipe();

/// @return the address in the form that sockets take.
sockaddr_in toSockaddr(const SocketAddress&);
/// @return the address of a socket's structure.
SocketAddress fromSockaddr(const sockaddr_in&);
/// @return the address that the socket is bound to, with the port that the kernel chose.
SocketAddress boundAddress(int descriptor);

} // namespace Auburnpost::Wire
