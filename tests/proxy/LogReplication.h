#pragma once

#include "proxy/FakeTarget.h"

#include <functional>
#include <memory>

namespace Auburnpost::Proxy {

class ProxySimulation;

/// Sends the primary's log to the replicas, one hop away, and acknowledges a commit once enough of their receipts have
/// come back. What was sent arrives even if the primary is demoted or crashes meanwhile.
class LogReplication {
public:
    explicit LogReplication(ProxySimulation&);

    /// Sends the present log of the primary to the replica.
    void send(const FakeTarget& primary, const TargetName& replica);
    /// @param done called once enough replicas have the commit; never called if that does not happen.
    void commit(const TargetName& primary, const LogPoint&, std::function<void(LogPoint)> done);
    /// Forgets the commits that nobody can acknowledge any more, as their primary has ended or was demoted.
    void dropWithoutPrimary();
    /// @return whether the target's log has all commits that were acknowledged to a host.
    [[nodiscard]] bool holdsAcknowledged(const FakeTarget&) const;

private:
    struct SentLog {
        Term term;
        std::vector<LogEntry> entries;
    };
    struct PendingCommit {
        TargetName primary;
        LogPoint point;
        std::set<TargetName> receipts;
        std::function<void(LogPoint)> done;
    };

    std::shared_ptr<const SentLog> currentLogOf(const FakeTarget& primary);
    void receive(const TargetName& primary, const TargetName& replica, const SentLog&);
    void handleReceipt(const TargetName& primary, Term term, const TargetName& replica, const LogPoint& end);
    [[nodiscard]] bool mayAcknowledge(const TargetName& primary) const;

    ProxySimulation& m_simulation;
    /// The log last sent by each target, so that an unchanged one is not copied again.
    std::map<TargetName, std::shared_ptr<const SentLog>> m_sent;
    std::vector<PendingCommit> m_pending;
    LogPoint m_lastAcknowledged;
};

} // namespace Auburnpost::Proxy
