#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <cstddef>

namespace Auburnpost::Proxy {

/// A target's report on its role and replication progress in its group.
struct TargetStatus {
    bool isPrimary { false };
    Term term;
    /// End of the log that the target has received.
    LogPoint received;
    /// The term of the target's fence; 0 when it is not fenced.
    Term fencedTerm;
    /// Replication lag of the applied log.
    Duration lag {};
    /// Number of statements that run or wait on the target.
    std::size_t busy { 0 };
    /// Number of connections to the target from all hosts.
    std::size_t connections { 0 };

    [[nodiscard]] bool isFenced() const { return fencedTerm != Term {}; }
};

} // namespace Auburnpost::Proxy
