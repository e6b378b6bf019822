#pragma once

#include "base/Expected.h"
#include "wire/HttpMessage.h"

struct evhttp_request;

namespace Auburnpost::Wire {

struct HttpServerLimits;

/// Converts a request that evhttp read.
/// @return the request without its id and peer, or an error if it exceeds a limit, states its length more than once,
/// has a transfer coding other than chunked, has a path that can't be decoded or has a query.
Expected<HttpRequest> readHttpRequest(evhttp_request*, const HttpServerLimits&);

} // namespace Auburnpost::Wire
