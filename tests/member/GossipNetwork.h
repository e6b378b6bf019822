#pragma once

#include "member/Membership.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace Auburnpost::MemberTest {

using namespace std::chrono_literals;

struct NetworkFaults {
    double loss { 0 };
    double duplication { 0 };
    Duration delayMinimum { 500us };
    /// Datagrams are reordered if this is above the minimum.
    Duration delayMaximum { 20ms };
};

/// A membership change as one host observed it.
struct SeenChange {
    std::size_t viewer { 0 };
    Instant at;
    Member::HostChanged change;
};

/// Hosts that gossip in simulated time over a network with loss, delay, duplication and partitions. Processes can be
/// paused, killed and restarted.
class GossipNetwork {
public:
    GossipNetwork(std::size_t hosts, std::uint64_t seed, Member::MembershipSettings = {}, NetworkFaults = {});

    /// Runs for the given simulated time.
    void run(Duration);
    /// Runs until the condition holds.
    /// @return the simulated time that this took; @p limit if the condition did not hold within it.
    Duration runUntil(const std::function<bool()>& condition, Duration limit);

    void kill(std::size_t host);
    /// Starts a new process with the same name and address.
    void restart(std::size_t host);
    /// Adds and starts a host.
    /// @return its index.
    std::size_t add();
    void pause(std::size_t host, Duration);
    /// Partitions the network: hosts of different groups cannot reach each other.
    void partition(const std::function<int(std::size_t)>& groupOf);
    void heal() { m_groupOf = nullptr; }
    void setFaults(NetworkFaults faults) { m_faults = faults; }

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }
    [[nodiscard]] Instant now() const { return m_now; }
    [[nodiscard]] bool isRunning(std::size_t host) const { return m_hosts[host].member != nullptr; }
    [[nodiscard]] Member::Membership& member(std::size_t host) { return *m_hosts[host].member; }
    [[nodiscard]] const std::vector<SeenChange>& changes() const { return m_changes; }
    void clearChanges() { m_changes.clear(); }
    /// @return the number of observed changes of this kind.
    [[nodiscard]] std::size_t count(Member::HostChange) const;
    /// @return whether every running host knows exactly the running hosts as live, and none of them as suspect.
    [[nodiscard]] bool hasConverged();
    /// @return the number of other running hosts that know @p subject as live.
    [[nodiscard]] std::size_t hostsSeeingLive(std::size_t subject);
    [[nodiscard]] Member::HostDescription describe(std::size_t host) const;
    [[nodiscard]] static SocketAddress addressOf(std::size_t host);
    [[nodiscard]] static HostName nameOf(std::size_t host);

private:
    struct Host {
        std::unique_ptr<Member::Membership> member;
        Instant pausedUntil;
        std::uint64_t generation { 0 };
        /// Datagrams in the socket buffer of a paused host.
        std::vector<std::pair<SocketAddress, std::string>> unread;
        /// Highest incarnation observed of each host, for the check that it never decreases.
        std::map<HostName, Incarnation> incarnations;
    };
    struct Event {
        Instant at;
        std::uint64_t order { 0 };
        std::size_t host { 0 };
        std::uint64_t generation { 0 };
        bool isTick { false };
        SocketAddress from;
        std::string bytes;

        bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void start(std::size_t host);
    void handle(const Event&);
    void deliver(std::size_t host, const SocketAddress& from, const std::string& bytes);
    void perform(std::size_t host, const Member::MembershipActions&);
    void transmit(std::size_t from, const Member::SendDatagram&);
    void scheduleTick(std::size_t host);
    void schedule(Event);
    [[nodiscard]] double uniform();

    Member::MembershipSettings m_settings;
    NetworkFaults m_faults;
    RandomEngine m_random;
    Instant m_now;
    std::vector<Host> m_hosts;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order { 0 };
    std::function<int(std::size_t)> m_groupOf;
    std::vector<SeenChange> m_changes;
};

} // namespace Auburnpost::MemberTest
