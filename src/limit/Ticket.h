#pragma once

#include "base/ErrorCode.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>

namespace Auburnpost::Limit {

/// Lower values go first. Routes of the proxy use further values than the named ones.
enum class Priority : std::uint32_t {
    /// Writes and statements of open transactions.
    Urgent,
    /// Reads that accept stale data.
    Browsing,
};

/// A class of capacity that a request needs, such as connections to the primary. Requests of one lane can be passed
/// over while those of another are started.
using Lane = std::uint8_t;
constexpr Lane laneCount = 3;

/// A request that waits for a slot of a target.
struct Ticket {
    RequestId id;
    OrganisationName organisation;
    Priority priority { Priority::Browsing };
    Instant deadline;
    /// Estimated service time on the target.
    Duration cost {};
    /// When the answer loses most of its value; the deadline counts if it is earlier.
    Instant targetAt { Instant::max() };
    Lane lane { 0 };
    /// Whether the request was queued before, and is queued again after an attempt that did not run.
    bool isRepeated { false };
};

enum class RefusalReason : std::uint8_t {
    /// The queue is full and the organisation holds at least its share of it.
    QueueFull,
    /// The request can't be answered before its deadline any more.
    DeadlineUnreachable,
    /// The request waited longer than the queue may hold a request under sustained overload.
    WaitedTooLong,
    /// The organisation has used its share of this host.
    OrganisationShare,
};

/// A request that was not started and won't be started.
struct AdmissionRefusal {
    RequestId id;
    RefusalReason reason { RefusalReason::QueueFull };
    /// Time after which the caller should try again.
    Duration retryAfter {};

    /// @return the error code for the caller.
    [[nodiscard]] ErrorCode code() const;
};

} // namespace Auburnpost::Limit
