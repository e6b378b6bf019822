#pragma once

#include "base/Expected.h"
#include "wire/HttpMessage.h"

struct evhttp_request;

namespace Auburnpost::Wire {

struct HttpServerLimits;

/// Copies what evhttp read into a message of our own.
/// @return the message without id and peer; an error for one above the limits, or with a path that can't be decoded.
Expected<HttpRequest> readHttpRequest(evhttp_request*, const HttpServerLimits&);

} // namespace Auburnpost::Wire
