#pragma once

#include "limit/DrainRate.h"
#include "limit/OrderedKeys.h"
#include "limit/Ticket.h"

#include <array>
#include <bitset>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

using LaneSet = std::bitset<laneCount>;

struct AdmissionQueueSettings {
    /// Maximum number of waiting requests.
    std::size_t capacity { 1024 };
    /// An urgent request goes before other organisations' requests of lower priority while its organisation is at most
    /// this far ahead in virtual service time.
    Duration maxUrgentLead { 50ms };
    /// Out of this many requests started for one organisation, one is of a lower priority than the highest, if any
    /// waits.
    std::uint32_t lowerPriorityEvery { 5 };
    /// Whether the wait is limited by the three settings below, and not only by the deadline.
    bool limitsWaits { true };
    /// Maximum wait while an organisation's queue empties from time to time.
    Duration normalMaxWait { 2s };
    /// Maximum wait of requests that are not urgent once the organisation's queue has not been empty for overloadAfter.
    /// From then on no request waits for more than half of the time up to its deadline.
    Duration overloadMaxWait { 200ms };
    /// Time without an empty queue after which an organisation counts as overloaded.
    Duration overloadAfter { 500ms };
    /// Whether a request is refused at once when the requests ahead of it leave it too little time before its latency
    /// target, or its deadline if it has no target.
    bool refusesByExpectedWait { false };
    /// Bounds of the retry delay given with a refusal.
    Duration retryAfterMinimum { 100ms };
    Duration retryAfterMaximum { 5s };
};

/// Queue of the requests that wait for capacity of one pool of targets or one database group. It is bounded, divides
/// service time fairly between organisations, prefers urgent requests within an organisation, and never starts a
/// request that can't be answered before its deadline. Requests that can no longer be answered before their latency
/// target are started when no other request of their lane waits. Each operation costs O(log n) in the number of waiting
/// requests, apart from the requests that it returns.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionQueueSettings = {});

    /// Adds a request.
    /// @return the refusals that this causes: of the request itself when it can't be answered before its deadline; in a
    /// full queue, of the request itself or of the newest request, the lowest priority first, of the organisation with
    /// the most waiting requests.
    std::vector<AdmissionRefusal> enqueue(Instant now, const Ticket&);

    /// @return the request to start now, removed from the queue; empty when no waiting request can be answered in time.
    std::optional<Ticket> next(Instant now);

    /// @param blocked lanes whose requests are passed over.
    /// @return the request to start now, which stays in the queue; empty when there is none.
    [[nodiscard]] std::optional<Ticket> peek(Instant now, LaneSet blocked);
    /// Removes a request that is being started, and charges its cost to its organisation.
    void start(Instant now, RequestId);
    /// Passes over the organisation's requests of the lane until releaseHeld().
    void holdOrganisation(const OrganisationName&, Lane);
    /// Passes over the request until releaseHeld().
    void hold(RequestId);
    void releaseHeld(Instant now);
    /// Passes over the request until the given time.
    void park(RequestId, Instant until);
    /// Passes over the request until wakeUpTo() is called with this moment or a later one.
    void parkUntilConfirmed(RequestId, Instant moment);
    void wakeUpTo(Instant now, Instant moment);
    /// @return the latest moment that a parked request of the lanes awaits; empty when there is none.
    [[nodiscard]] std::optional<Instant> latestAwaited(const LaneSet&) const;

    /// Removes the requests that won't be started any more. To be called after next() or peek() and on a timer.
    /// @return one refusal for each.
    std::vector<AdmissionRefusal> removeExpired(Instant now);

    /// @return the refusals found meanwhile by other calls, which removeExpired() would return as well.
    std::vector<AdmissionRefusal> takeRefused() { return std::exchange(m_refused, {}); }

    /// Removes a request whose caller has disconnected.
    /// @return whether it was waiting.
    bool cancel(RequestId);

    /// Charges service time to an organisation that it received without the queue.
    void charge(const OrganisationName&, Duration cost);

    /// @return the time after which a request that is added now is expected to start; empty when it is not known.
    [[nodiscard]] std::optional<Duration> expectedWait(Instant now, const Ticket&) const;

    /// @return the time between two starts in the lane while requests wait; empty when it is not known.
    [[nodiscard]] std::optional<Duration> expectedGap(Instant now, Lane) const;

    [[nodiscard]] bool contains(RequestId id) const { return m_entries.contains(id); }
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    [[nodiscard]] std::size_t size(const OrganisationName&) const;

private:
    enum class Place : std::uint8_t {
        /// Can be answered before the latency target.
        OnTime,
        Late,
        /// Passed over until a time.
        Parked,
        /// Passed over until a moment is confirmed.
        Awaiting,
        /// Passed over until releaseHeld().
        Held,
    };
    struct Organisation;
    struct Entry {
        Ticket ticket;
        Instant since;
        Place place { Place::OnTime };
        /// Parked and Awaiting: the time or moment.
        Instant until;
        Organisation* organisation { nullptr };
    };
    struct Level {
        OrderedKeys waiting;
        /// Value of LaneQueue::starts at the last start.
        std::uint64_t lastStart { 0 };
        /// What the level gets beside higher priorities and other organisations.
        DrainRate drainRate;
    };
    struct LateKey {
        Priority priority {};
        Key key;

        auto operator<=>(const LateKey&) const = default;
    };
    /// The requests of one organisation and lane that may be started.
    struct LaneQueue {
        std::map<Priority, Level> levels;
        std::set<LateKey> late;
        std::size_t onTime { 0 };
        std::uint64_t starts { 0 };
        /// Requests of the highest priority started since the last one of a lower priority.
        std::uint32_t startedHighest { 0 };
        bool isHeld { false };
        /// The sets of the LaneIndex that hold the organisation.
        std::array<bool, 3> isIndexed {};
    };
    struct Organisation {
        OrganisationName name;
        std::uint64_t number { 0 };
        /// Virtual service time received, as in stride scheduling; the organisation with the lowest pass goes first.
        Duration pass {};
        std::size_t size { 0 };
        /// Moment since which its queue has not been empty.
        Instant busySince;
        std::array<LaneQueue, laneCount> lanes;
        /// With AdmissionQueueSettings::limitsWaits: when each request has waited too long, in the normal state and
        /// under overload.
        std::set<Key> normalLimits;
        std::set<Key> overloadLimits;
    };
    struct OrganisationKey {
        Duration pass {};
        std::uint64_t number { 0 };
        Organisation* organisation { nullptr };

        bool operator<(const OrganisationKey& other) const
        {
            return pass != other.pass ? pass < other.pass : number < other.number;
        }
    };
    enum Rank : std::size_t { Urgent, OnTime, Late };
    /// The organisations with requests in a lane that may be started, by Rank, lowest pass first.
    using LaneIndex = std::array<std::set<OrganisationKey>, 3>;
    using Entries = std::unordered_map<RequestId, Entry>;

    Organisation& organisationOf(const OrganisationName&);
    /// Adds a request to the order in which requests are started, or removes it.
    void insertOrdered(Instant now, Entry&);
    void eraseOrdered(const Entry&);
    void takeAside(Entry&, Place, Instant until);
    void putBack(Instant now, Entry&);
    /// Removes a request from everything.
    void remove(Entries::iterator);
    void refreshIndex(Organisation&, Lane);
    void setPass(Organisation&, Duration pass);
    [[nodiscard]] const OrganisationKey* lowest(LaneSet blocked, Rank) const;
    [[nodiscard]] Organisation* chooseOrganisation(LaneSet blocked) const;
    /// @return the priority level whose first request starts next.
    [[nodiscard]] std::map<Priority, Level>::const_iterator nextLevel(const LaneQueue&) const;
    [[nodiscard]] RequestId firstOf(const Organisation&, LaneSet blocked) const;
    /// Moves requests that can't meet their latency target, wakes parked ones, and refuses what can't be answered.
    void update(Instant now);
    void refuseWaitedTooLong(Instant now);
    /// Refuses the last requests in order while the ones ahead leave them no time.
    void refuseUnreachable(Instant now);
    void refuseEntry(Entries::iterator, RefusalReason);
    [[nodiscard]] AdmissionRefusal refuse(RequestId, RefusalReason) const;
    /// Removes a request in favour of @p ticket. @return its refusal, or that of the ticket itself.
    [[nodiscard]] AdmissionRefusal makeRoom(const Ticket&);
    /// @return the request of the organisation to refuse first when the queue is full.
    [[nodiscard]] std::optional<RequestId> findVictim(const Organisation&) const;
    /// @return the expected wait of a request that has @p ownAhead requests of its level and @p higherAhead ones of
    /// higher levels of its organisation ahead; empty when it is not known.
    [[nodiscard]] std::optional<Duration> expectedWait(
        Instant now, const Ticket&, std::size_t ownAhead, std::size_t higherAhead) const;
    /// @return the requests started before a request of the organisation that has @p ownAhead requests ahead.
    [[nodiscard]] std::size_t countAhead(const OrganisationName&, Lane, std::size_t ownAhead) const;
    void removeIdle();

    AdmissionQueueSettings m_settings;
    Entries m_entries;
    std::map<OrganisationName, std::unique_ptr<Organisation>> m_organisations;
    std::uint64_t m_lastOrganisation { 0 };
    std::array<LaneIndex, laneCount> m_indexes;
    std::array<std::size_t, laneCount> m_laneSizes {};
    std::array<DrainRate, laneCount> m_drainRates;
    /// All requests, by the last moment at which they can be started and answered before the deadline.
    std::set<Key> m_latestStarts;
    /// Requests in Place::OnTime with a latency target, by the last moment at which they can be started to meet it.
    std::set<Key> m_targetStarts;
    std::set<Key> m_parked;
    std::set<Key> m_awaiting;
    std::vector<RequestId> m_held;
    std::vector<std::pair<Organisation*, Lane>> m_heldOrganisations;
    /// Highest pass at which a request was started; an organisation that was idle starts there.
    Duration m_virtualTime {};
    Duration m_smoothedWait {};
    /// Found meanwhile and not yet returned by removeExpired().
    std::vector<AdmissionRefusal> m_refused;
};

} // namespace Auburnpost::Limit
