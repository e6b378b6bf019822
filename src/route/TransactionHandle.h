#pragma once

#include "base/Ids.h"

namespace Auburnpost::Route {

/// Where a transaction is held. Every host can forward to it by this alone.
struct TransactionHandle {
    HostName home;
    /// A home that has restarted since has rolled the transaction back.
    Incarnation incarnation;
    std::uint64_t number { 0 };
    DatabaseName database;

    auto operator<=>(const TransactionHandle&) const = default;

    /// @return the key under which its commit records the outcome.
    [[nodiscard]] OutcomeKey outcomeKey() const;
};

} // namespace Auburnpost::Route
