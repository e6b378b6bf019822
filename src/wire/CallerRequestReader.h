#pragma once

#include "base/Expected.h"
#include "message/CallerRequest.h"
#include "wire/HttpMessage.h"

namespace Auburnpost::Wire {

/// Parses the path, headers and JSON body of a caller's request.
/// @return the request, or an error that describes what is wrong with it and holds the caller's address as the peer.
Expected<CallerRequest> readCallerRequest(const HttpRequest&);

} // namespace Auburnpost::Wire
