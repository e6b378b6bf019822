#pragma once

#include "base/Expected.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Load {

enum class Access {
    Read,
    /// A write with an Idempotency-Key, which is retried with the same key.
    KeyedWrite,
    /// A write without a key, which is sent once.
    KeylessWrite,
};

/// One kind of request of a workload.
struct RequestKind {
    std::string name;
    Access access { Access::Read };
    /// Share of all requests, relative to the other kinds.
    double weight { 0 };
    /// Maximum age that a read states; without one the organisation's configured age and the session apply.
    std::optional<Duration> maxAge;
    /// Whether to read an item that the session has written; any item until it has written one.
    bool readsOwnItem { false };
};

/// The kinds of request of a workload and their shares.
struct Mix {
    std::string name;
    std::vector<RequestKind> kinds;

    /// @return the mix called @p name ("ranwala", "smokewatch"), or ErrorCode::BadSettings.
    static Expected<Mix> find(std::string_view name);
};

} // namespace Auburnpost::Load
