#pragma once

#include "base/ErrorCode.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>

namespace Auburnpost::Limit {

enum class Priority : std::uint8_t {
    /// Writes and statements of open transactions.
    Urgent,
    /// Reads that accept data of some age.
    Browsing,
};

/// A request that waits for a slot of a target.
struct Ticket {
    RequestId id;
    OrganisationName organisation;
    Priority priority { Priority::Browsing };
    Instant deadline;
    /// Estimated service time on the target.
    Duration cost {};
};

enum class RefusalReason : std::uint8_t {
    /// The queue is full and the organisation holds no less than its share of it.
    QueueFull,
    /// It can't be answered before its deadline any more.
    DeadlineUnreachable,
    /// It waited longer than the queue may hold a request under lasting overload.
    WaitedTooLong,
    /// The organisation has used its share of this host.
    OrganisationShare,
};

/// A request that was not started and won't be.
struct AdmissionRefusal {
    RequestId id;
    RefusalReason reason { RefusalReason::QueueFull };
    /// When it makes sense to try again.
    Duration retryAfter {};

    /// @return the error code that callers see.
    [[nodiscard]] ErrorCode code() const;
};

} // namespace Auburnpost::Limit
