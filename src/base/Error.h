#pragma once

#include "base/ErrorCode.h"

#include <string>

namespace Auburnpost {

/// A failure, with the step at which it arose and the peer it arose with.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    /// What was being done, such as "connect" or "fence".
    std::string step;
    /// Name or address of the other side; empty when there was none.
    std::string peer;
    /// One sentence for a person.
    std::string message;

    bool operator==(const Error&) const = default;

    /// @return "code at step with peer: message".
    [[nodiscard]] std::string describe() const;
};

} // namespace Auburnpost
