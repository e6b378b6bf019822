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
    std::size_t capacity { 1024 };
    /// An urgent request overtakes others while its organisation's service is no more than this ahead.
    Duration urgentLead { 50ms };
    /// Of this many picks inside one organisation, one is a browsing request when one waits.
    std::uint32_t browsingEvery { 5 };
    /// Longest wait while an organisation's queue keeps emptying.
    Duration calmWait { 2s };
    /// Longest wait of browsing requests once it has not emptied for overloadAfter. From then on no request waits
    /// for more than half of its time.
    Duration overloadWait { 200ms };
    Duration overloadAfter { 500ms };
    Duration retryAfterMinimum { 100ms };
    Duration retryAfterMaximum { 5s };
};

/// Requests that wait for one pool of targets on one home: bounded, fair between organisations by service time,
/// urgent before browsing, and never started when they can't be answered in time.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionQueueSettings = {});

    /// Adds a request.
    /// @return the requests refused for it: itself, or a newer one of the organisation that holds most of a full queue.
    std::vector<AdmissionRefusal> enqueue(Instant now, const Ticket&);

    /// @return the request to start now; empty when none waits that can be answered in time.
    std::optional<Ticket> next(Instant now);

    /// Takes out what won't be started any more. To be called after next() and on a timer.
    /// @return one refusal for each.
    std::vector<AdmissionRefusal> expired(Instant now);

    /// Takes a request out, as its caller went away.
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
        /// Virtual service time received; the least goes first.
        Duration pass {};
        /// Indexed by Priority.
        std::array<std::deque<Waiting>, 2> queues;
        /// Moment from which its queue has never been empty.
        Instant busySince;
        std::uint32_t urgentPicks { 0 };

        [[nodiscard]] std::size_t size() const { return queues[0].size() + queues[1].size(); }
    };
    using Organisations = std::map<OrganisationName, Organisation>;

    [[nodiscard]] Organisations::iterator choose();
    [[nodiscard]] std::optional<RefusalReason> refusalOf(const Organisation&, const Waiting&, Instant now) const;
    [[nodiscard]] Duration waitLimit(const Organisation&, const Waiting&, Instant now) const;
    [[nodiscard]] AdmissionRefusal refuse(RequestId, RefusalReason) const;
    /// Takes out a request in favour of @p ticket. @return its refusal, or that of the ticket itself.
    [[nodiscard]] AdmissionRefusal makeRoom(const Ticket&);
    [[nodiscard]] std::size_t queueOf(const Organisation&) const;
    Ticket take(Organisations::iterator, Instant now);
    void forgetIdle();

    AdmissionQueueSettings m_settings;
    Organisations m_organisations;
    std::size_t m_size { 0 };
    /// Pass of the organisation served last; a newcomer starts there.
    Duration m_virtualTime {};
    Duration m_smoothedWait {};
    /// Found by next(), not yet handed out by expired().
    std::vector<AdmissionRefusal> m_refused;
};

} // namespace Auburnpost::Limit
