#pragma once

#include "base/Expected.h"
#include "message/CallerRequest.h"
#include "wire/HttpMessage.h"

namespace Auburnpost::Wire {

/// Reads a caller's request: path, headers and JSON body.
/// @return the request, or an error that says what is wrong with it and names the caller's address.
Expected<CallerRequest> readCallerRequest(const HttpRequest&);

} // namespace Auburnpost::Wire
