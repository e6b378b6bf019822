#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <cstddef>

namespace Auburnpost::Proxy {

/// What a target told of its place in the group.
struct TargetStanding {
    bool isPrimary { false };
    Term term;
    /// End of the log that it has received.
    LogPoint received;
    /// The term at which it was fenced; 0 when it is not.
    Term fencedTerm;
    /// How far the applied log is behind.
    Duration lag {};
    /// Statements that run or wait on it.
    std::size_t busy { 0 };
    /// Connections that it has, from all hosts.
    std::size_t connections { 0 };

    [[nodiscard]] bool isFenced() const { return fencedTerm != Term {}; }
};

} // namespace Auburnpost::Proxy
