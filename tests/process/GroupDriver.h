#pragma once

#include "process/GroupCallers.h"
#include "process/GroupSite.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Auburnpost::Test {

/// The faults that are drawn.
enum class GroupFaults {
    All,
    /// The primary is cut off from all but one host, which loses the other members when the primary is replaced.
    ReplacedPrimary,
};

/// @return the name of a host.
std::string hostName(std::size_t index);

/// The faults of a run. A seed decides what is done and when.
class GroupDriver {
public:
    GroupDriver(GroupSite&, GroupFaults, std::uint64_t seed);

    /// Brings faults about for a time, and ends all of them before its end.
    void runFor(std::chrono::milliseconds);

    [[nodiscard]] const std::vector<Disturbance>& faults() const { return m_faults; }
    /// @return how often each kind of fault occurred, as text.
    [[nodiscard]] std::string faultCounts() const;
    [[nodiscard]] std::size_t hostsEndedByThemselves() const { return m_hostsEnded; }

private:
    using Milliseconds = std::chrono::milliseconds;
    using Fault = void (GroupDriver::*)(Moment now);

    static const std::vector<std::pair<std::string, Fault>>& kinds();

    [[nodiscard]] Milliseconds pick(int leastMs, int mostMs);
    [[nodiscard]] std::size_t pickHost() { return m_random() % m_site.size(); }
    /// @return a host whose callers nearly always read, and so don't notice a primary that can't commit.
    [[nodiscard]] std::size_t pickReadingHost()
    {
        return GroupCallers::writingHosts + m_random() % (m_site.size() - GroupCallers::writingHosts);
    }
    /// @return a running member other than the primary, or an empty text.
    [[nodiscard]] std::string pickReplica();
    void at(Moment, std::function<void()>);
    void note(Moment from, Moment until, const std::string& cause);
    void scheduleFault(Moment);

    void cut(const std::string& from, const std::string& to, Moment now, Moment until);
    /// Cuts the directions that are chosen at random: one of them or both.
    void cutSomeDirections(const std::string& one, const std::string& other, Moment now, Moment until);
    void cutMembersFromPrimary(Moment now);
    void cutPrimaryFromMost(Moment now);
    /// Cuts a host or the primary from the members other than the primary.
    void cutFromOthers(const std::string& party, const std::string& primary, Moment now, Moment until);
    /// Cuts a host and the primary from the other members, for the rest of a time, once a member is fenced in it.
    void cutOnReplacement(
        const std::string& host, const std::string& primary, std::size_t attemptsBefore, Moment now, Moment until);
    void cutHostsFromPrimary(Moment now);
    void cutHostFromReplicas(Moment now);
    void crashPrimary(Moment now);
    void crashReplica(Moment now);
    void crash(const std::string& member, Moment now);
    void releaseMember(Moment now);
    void releasePrimaryBehindCuts(Moment now);
    /// Releases a member, and starts another. @return false if the last release was too short ago.
    bool release(const std::string& member, Moment now);
    void silenceRecord(Moment now);
    void stopHost(Moment now);
    void starveHost(Moment now);
    void killHost(Moment now);
    void terminateHost(Moment now);
    void silenceStoreForHost(Moment now);
    void silenceStore(Moment now);
    void pauseBetween(std::size_t host, Moment from, Moment until);
    void restartHost(std::size_t host);

    GroupSite& m_site;
    GroupFaults m_choice;
    std::mt19937_64 m_random;
    std::multimap<Moment, std::function<void()>> m_actions;
    std::vector<int> m_pauses;
    /// Hosts that are down, or that have been told to end.
    std::vector<bool> m_isDown;
    bool m_isEnding { false };
    Moment m_nextRelease;
    std::vector<Disturbance> m_faults;
    std::map<std::string, int> m_faultCounts;
    std::size_t m_hostsEnded { 0 };
};

} // namespace Auburnpost::Test
