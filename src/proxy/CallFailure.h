#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string_view>

namespace Auburnpost::Proxy {

/// How a call to the store, or to a host that feeds tables, failed.
enum class CallFailure : std::uint8_t {
    /// It waited for a connection until its timeout.
    NotSent,
    /// It was sent, or may have been, and no whole answer came.
    Unanswered,
    /// The answer had a status other than success.
    Status,
    /// The answer can't be used.
    Rejected,
};

/// @return the kind of failure that an error of a call stands for.
CallFailure callFailureOf(const Error&);

/// @return the text for logs, in lower case with underscores, such as "not_sent".
std::string_view toString(CallFailure);

} // namespace Auburnpost::Proxy
