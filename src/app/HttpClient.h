#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "base/Time.h"

#include <optional>
#include <string>

namespace Auburnpost {

/// One request to a host's operators' interface.
struct OperatorCall {
    SocketAddress address;
    /// Path with its leading slash.
    std::string path;
    /// Body of a PUT; a GET when there is none.
    std::optional<std::string> body;
    /// Text of the If-Match header; empty for none.
    std::string ifMatch;
    /// Time limit of the whole call.
    Duration timeout {};
};

/// A whole answer.
struct OperatorResponse {
    int status { 0 };
    /// Text of the Version header; empty when there is none.
    std::string version;
    std::string body;
};

/// Makes the call and waits for its answer.
/// @return the answer whatever its status, or an error with the step and the address.
Expected<OperatorResponse> callOperators(const OperatorCall&);

} // namespace Auburnpost
