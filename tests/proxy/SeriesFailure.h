#pragma once

#include <cstdint>

namespace Auburnpost::Proxy {

/// How a call for a followed table fails after the store has come back.
enum class SeriesFailure : std::uint8_t {
    /// It gets no answer until its timeout, as one that waits for a connection.
    NoAnswer,
    /// It is refused, or its connection ends, at once.
    Refused,
    /// The history of changes is gone, and the read that follows is rejected.
    RejectedRead,
};

} // namespace Auburnpost::Proxy
