#pragma once

#include "base/Ids.h"

namespace Auburnpost::Route {

/// Identifies a transaction and its home, which is all that a host needs to forward its statements.
struct TransactionHandle {
    HostName home;
    /// Incarnation of the home; a home that has restarted since has rolled the transaction back.
    Incarnation incarnation;
    std::uint64_t number { 0 };
    DatabaseName database;

    auto operator<=>(const TransactionHandle&) const = default;

    /// @return the key under which the commit records its outcome.
    [[nodiscard]] OutcomeKey outcomeKey() const;
};

} // namespace Auburnpost::Route
