#pragma once

#include "base/ErrorCode.h"

#include <string>

namespace Auburnpost {

/// A failure, with the step that failed and the peer involved.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    /// The operation that failed, such as "connect" or "fence".
    std::string step;
    /// Name or address of the peer; empty if none is involved.
    std::string peer;
    /// Human-readable description, one sentence.
    std::string message;

    bool operator==(const Error&) const = default;

    /// @return "code at step with peer: message".
    [[nodiscard]] std::string describe() const;
};

} // namespace Auburnpost
