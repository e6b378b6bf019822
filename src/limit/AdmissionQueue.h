#pragma once

#include "limit/Ticket.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

struct AdmissionQueueSettings {
    /// Maximum number of waiting requests.
    std::size_t capacity { 1024 };
    /// An urgent request goes before other organisations' browsing requests while its organisation is at most this far
    /// ahead in virtual service time.
    Duration maxUrgentLead { 50ms };
    /// Out of this many requests started for one organisation, one is a browsing request if any waits.
    std::uint32_t browsingEvery { 5 };
    /// Maximum wait while an organisation's queue empties from time to time.
    Duration normalMaxWait { 2s };
    /// Maximum wait of browsing requests once the organisation's queue has not been empty for overloadAfter. From then
    /// on no request waits for more than half of the time up to its deadline.
    Duration overloadMaxWait { 200ms };
    /// Time without an empty queue after which an organisation counts as overloaded.
    Duration overloadAfter { 500ms };
    /// Bounds of the retry delay given with a refusal.
    Duration retryAfterMinimum { 100ms };
    Duration retryAfterMaximum { 5s };
};

/// Queue of the requests that wait for one pool of targets on one home. It is bounded, divides service time fairly
/// between organisations, prefers urgent to browsing requests, and never starts a request that can't be answered before
/// its deadline.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionQueueSettings = {});

    /// Adds a request.
    /// @return the refusals that this causes: of the request itself when it can't be answered before its deadline; in a
    /// full queue, of the request itself or of the newest request, browsing before urgent, of the organisation with the
    /// most waiting requests.
    std::vector<AdmissionRefusal> enqueue(Instant now, const Ticket&);

    /// @return the request to start now, removed from the queue; empty when no waiting request can be answered in time.
    std::optional<Ticket> next(Instant now);

    /// Removes the requests that won't be started any more. To be called after next() and on a timer.
    /// @return one refusal for each.
    std::vector<AdmissionRefusal> removeExpired(Instant now);

    /// Removes a request whose caller has disconnected.
    /// @return whether it was waiting.
    bool cancel(const OrganisationName&, RequestId);

    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] std::size_t size(const OrganisationName&) const;

private:
    struct Waiting {
        Ticket ticket;
        Instant since;
    };
    struct Organisation {
        /// Virtual service time received, as in stride scheduling; the organisation with the lowest pass goes first.
        Duration pass {};
        /// Indexed by Priority.
        std::array<std::deque<Waiting>, 2> queues;
        /// Moment since which its queue has not been empty.
        Instant busySince;
        /// Urgent requests started since the last browsing request.
        std::uint32_t startedUrgent { 0 };

        [[nodiscard]] std::size_t size() const { return queues[0].size() + queues[1].size(); }
    };
    using Organisations = std::map<OrganisationName, Organisation>;

    /// @return the organisation whose request starts next. At least one request has to wait.
    [[nodiscard]] Organisations::iterator chooseOrganisation();
    [[nodiscard]] std::optional<RefusalReason> refusalReason(const Organisation&, const Waiting&, Instant now) const;
    [[nodiscard]] Duration maxWait(const Organisation&, const Waiting&, Instant now) const;
    [[nodiscard]] AdmissionRefusal refuse(RequestId, RefusalReason) const;
    /// Removes a request in favour of @p ticket. @return its refusal, or that of the ticket itself.
    [[nodiscard]] AdmissionRefusal makeRoom(const Ticket&);
    /// @return index of the queue whose first request starts next.
    [[nodiscard]] std::size_t nextQueue(const Organisation&) const;
    Ticket dequeue(Organisations::iterator, Instant now);
    void removeIdle();

    AdmissionQueueSettings m_settings;
    Organisations m_organisations;
    std::size_t m_size { 0 };
    /// Highest pass at which a request was started; an organisation that was idle starts there.
    Duration m_virtualTime {};
    Duration m_smoothedWait {};
    /// Found by next() and not yet returned by removeExpired().
    std::vector<AdmissionRefusal> m_refused;
};

} // namespace Auburnpost::Limit
