#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "base/Time.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// One request to the operators' interface of a host.
struct OperatorCall {
    SocketAddress address;
    /// Path with its leading slash.
    std::string path;
    /// Body of a PUT request; without one the request is a GET.
    std::optional<std::string> body;
    /// Value of the If-Match header; empty to send none.
    std::string ifMatch;
    /// Time limit of the whole call.
    Duration timeout {};
};

/// A complete HTTP response.
struct OperatorResponse {
    int status { 0 };
    /// Value of the Version header; empty when the response has none.
    std::string version;
    std::string body;
};

/// Sends the request and blocks until the response has arrived or the timeout has passed.
/// @return the response whatever its status, or an error with the step and the address.
Expected<OperatorResponse> callOperators(const OperatorCall&);

} // namespace Auburnpost
