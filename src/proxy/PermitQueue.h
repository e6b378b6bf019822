#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "proxy/Ids.h"
#include "session/Statement.h"

#include <functional>
#include <list>
#include <vector>

namespace Auburnpost::Proxy {

/// An operation of an organisation for which this host had no permit when it arrived.
struct WaitingOperation {
    SessionId session;
    OrganisationName organisation;
    Session::Statement statement;
    Instant refuseAt;
    bool isAdmitted { false };
};

/// The operations that wait for a permit which the coordinator of the rate limits is asked for. An organisation with
/// few operations on many hosts has fewer permits than hosts, so that most of its operations meet a host without one.
/// The wait is short and few operations of an organisation wait at a time, so that one over its limit is refused at
/// once.
class PermitQueue {
public:
    /// Maximum wait: a request in progress, the interval of urgent requests, one more request, and the tick that sends
    /// it.
    static constexpr Duration maxWait = std::chrono::milliseconds(250);
    /// Maximum number of operations of one organisation that wait on this host.
    static constexpr std::size_t perOrganisation = 4;

    using TryAdmit = std::function<bool(const OrganisationName&)>;

    /// @return whether the operation waits; false if enough operations of its organisation do.
    bool add(Instant now, SessionId, const OrganisationName&, const Session::Statement&);
    /// Forgets the operation of a session that has ended.
    void remove(SessionId);
    /// @return the operations that are admitted now, and those that have waited for too long, in order of arrival.
    std::vector<WaitingOperation> takeDecided(Instant now, const TryAdmit&);
    [[nodiscard]] std::size_t size() const { return m_waiting.size(); }

private:
    std::list<WaitingOperation> m_waiting;
};

} // namespace Auburnpost::Proxy
