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
    /// A write with an Idempotency-Key, retried with the same key.
    KeyedWrite,
    /// A write without a key; it is sent once.
    KeylessWrite,
};

/// One kind of request of a workload.
struct RequestKind {
    std::string name;
    Access access { Access::Read };
    /// Share of all requests, relative to the other kinds.
    double weight { 0 };
    /// The stated age; without one the organisation's allowance and the session decide.
    std::optional<Duration> maxAge;
    /// Reads an item that the session has written, where there is one.
    bool ownItem { false };
};

/// A workload: the kinds of request and their shares.
struct Mix {
    std::string name;
    std::vector<RequestKind> kinds;

    /// @return the mix called @p name ("ranwala", "smokewatch"), or ErrorCode::BadSettings.
    static Expected<Mix> find(std::string_view name);
};

} // namespace Auburnpost::Load
