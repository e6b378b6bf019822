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
    /// Datagrams overtake each other when it is above the minimum.
    Duration delayMaximum { 20ms };
};

/// One change as one host saw it.
struct SeenChange {
    std::size_t viewer { 0 };
    Instant at;
    Member::HostChanged change;
};

/// Hosts that gossip over datagrams in simulated time, with loss, delay, duplication, cuts, pauses and kills.
class GossipNetwork {
public:
    GossipNetwork(std::size_t hosts, std::uint64_t seed, Member::MembershipSettings = {}, NetworkFaults = {});

    /// Runs for a while of simulated time.
    void run(Duration);
    /// Runs until the condition holds. @return how long that took; the limit when it never held.
    Duration runUntil(const std::function<bool()>& condition, Duration limit);

    void kill(std::size_t host);
    /// Starts a process at the same name and address.
    void restart(std::size_t host);
    /// Adds a host. @return its index.
    std::size_t add();
    void pause(std::size_t host, Duration);
    /// Hosts whose groups differ can't reach each other.
    void cut(const std::function<int(std::size_t)>& groupOf);
    void join() { m_groupOf = nullptr; }
    void setFaults(NetworkFaults faults) { m_faults = faults; }

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }
    [[nodiscard]] Instant now() const { return m_now; }
    [[nodiscard]] bool isUp(std::size_t host) const { return m_hosts[host].member != nullptr; }
    [[nodiscard]] Member::Membership& member(std::size_t host) { return *m_hosts[host].member; }
    [[nodiscard]] const std::vector<SeenChange>& changes() const { return m_changes; }
    void clearChanges() { m_changes.clear(); }
    /// @return how many changes of this kind were seen.
    [[nodiscard]] std::size_t count(Member::HostChange) const;
    /// @return whether every running host holds exactly the running hosts as live, and none of them as suspect.
    [[nodiscard]] bool agrees();
    /// @return how many other running hosts hold @p subject as live.
    [[nodiscard]] std::size_t viewersOfLive(std::size_t subject);
    [[nodiscard]] Member::HostDescription describe(std::size_t host) const;
    [[nodiscard]] static SocketAddress addressOf(std::size_t host);
    [[nodiscard]] static HostName nameOf(std::size_t host);

private:
    struct Host {
        std::unique_ptr<Member::Membership> member;
        Instant pausedUntil;
        std::uint64_t life { 0 };
        /// Datagrams that wait in the socket of a paused host.
        std::vector<std::pair<SocketAddress, std::string>> unread;
        /// Highest incarnation seen of each host, for the check that it never falls.
        std::map<HostName, Incarnation> incarnations;
    };
    struct Event {
        Instant at;
        std::uint64_t order { 0 };
        std::size_t host { 0 };
        std::uint64_t life { 0 };
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
