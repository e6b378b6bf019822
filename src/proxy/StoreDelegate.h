#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "proxy/StoreCallSlot.h"
#include "proxy/StoreTable.h"

#include <string>

namespace Auburnpost::Proxy {

/// Operations that StoreFollower and HostDirectory require from their environment. Each call is answered once, at its
/// timeout at the latest, unless it is cancelled.
class StoreDelegate {
public:
    virtual ~StoreDelegate() = default;
    /// Reads a page of a table, starting at a key.
    virtual void readTable(StoreTable, const std::string& fromKey, Duration timeout, StoreCallSlot) = 0;
    /// Polls for changes after a version.
    /// @param wait how long the store waits for a change; zero for an answer at once.
    virtual void followTable(StoreTable, RowVersion after, Duration wait, Duration timeout, StoreCallSlot) = 0;
    /// Requests changes after a version from another host.
    /// @param wait how long that host waits for a change; zero for an answer at once.
    virtual void followFeeder(
        const SocketAddress& feeder, StoreTable, RowVersion after, Duration wait, Duration timeout, StoreCallSlot)
        = 0;
    /// Ends a call for a followed table without an answer.
    virtual void cancelCall(StoreTable, StoreCallSlot) = 0;
    /// Writes this host's record.
    virtual void writeHost(const HostName&, const std::string& value) = 0;
};

} // namespace Auburnpost::Proxy
