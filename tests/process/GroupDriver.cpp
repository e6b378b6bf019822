#include "process/GroupDriver.h"

#include "process/ProcessState.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace Auburnpost::Test {

namespace {

    /// Without faults at the end, so that the last primary has been found.
    constexpr auto calmTime = std::chrono::milliseconds(4000);
    /// The first kinds of faults, those of the primary.
    constexpr std::size_t primaryFaults = 4;
    /// Those that leave a replaced primary in the reach of one host.
    constexpr std::size_t replacedPrimaryFaults[] { 1, 3, 3, 3 };
    constexpr auto replacementInterval = std::chrono::milliseconds(9500);
    /// A member that is released takes its log with it, so the others get time to receive what they missed.
    constexpr auto releaseInterval = std::chrono::milliseconds(9000);

} // namespace

std::string hostName(std::size_t index)
{
    return "host-" + std::to_string(index + 1);
}

const std::vector<std::pair<std::string, GroupDriver::Fault>>& GroupDriver::kinds()
{
    static const std::vector<std::pair<std::string, Fault>> all {
        { "members-cut-from-primary", &GroupDriver::cutMembersFromPrimary },
        { "primary-cut-from-most", &GroupDriver::cutPrimaryFromMost },
        { "hosts-cut-from-primary", &GroupDriver::cutHostsFromPrimary },
        { "primary-released-behind-cuts", &GroupDriver::releasePrimaryBehindCuts },
        { "host-cut-from-replicas", &GroupDriver::cutHostFromReplicas },
        { "primary-crashed", &GroupDriver::crashPrimary },
        { "replica-crashed", &GroupDriver::crashReplica },
        { "member-released", &GroupDriver::releaseMember },
        { "record-silent", &GroupDriver::silenceRecord },
        { "host-stopped", &GroupDriver::stopHost },
        { "host-starved", &GroupDriver::starveHost },
        { "host-killed", &GroupDriver::killHost },
        { "host-terminated", &GroupDriver::terminateHost },
        { "store-silent-for-host", &GroupDriver::silenceStoreForHost },
        { "store-silent", &GroupDriver::silenceStore },
    };
    return all;
}

GroupDriver::GroupDriver(GroupSite& site, GroupFaults faults, std::uint64_t seed)
    : m_site(site)
    , m_choice(faults)
    , m_random(seed)
    , m_pauses(site.size(), 0)
    , m_isDown(site.size(), false)
{
}

void GroupDriver::runFor(Milliseconds time)
{
    const auto start = std::chrono::steady_clock::now();
    const auto calmFrom = start + time - calmTime;
    scheduleFault(start + pick(500, 1500));
    while (!m_actions.empty() && m_actions.begin()->first < calmFrom) {
        const auto next = m_actions.extract(m_actions.begin());
        std::this_thread::sleep_until(next.key());
        next.mapped()();
    }
    std::this_thread::sleep_until(calmFrom);
    m_isEnding = true;
    while (!m_actions.empty())
        m_actions.extract(m_actions.begin()).mapped()();
    m_site.group().healAll();
    m_site.store().setFault("", StoreFault::None);
    for (std::size_t host = 0; host < m_site.size(); ++host)
        m_site.store().setFault(hostName(host), StoreFault::None);
    note(calmFrom, calmFrom, "all faults ended");
    std::this_thread::sleep_until(start + time);
    for (std::size_t host = 0; host < m_site.size(); ++host) {
        if (!isRunning(m_site.host(host).pid()))
            ++m_hostsEnded;
    }
}

std::string GroupDriver::faultCounts() const
{
    std::string text;
    for (const auto& [kind, count] : m_faultCounts)
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + kind;
    return text;
}

GroupDriver::Milliseconds GroupDriver::pick(int leastMs, int mostMs)
{
    return Milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(m_random));
}

std::string GroupDriver::pickReplica()
{
    auto members = m_site.group().runningMembers();
    std::erase(members, m_site.group().primary());
    return members.empty() ? std::string() : members[m_random() % members.size()];
}

void GroupDriver::at(Moment moment, std::function<void()> action)
{
    m_actions.emplace(moment, std::move(action));
}

void GroupDriver::note(Moment from, Moment until, const std::string& cause)
{
    m_faults.push_back({ Disturbance::allHosts, from, until, cause });
}

void GroupDriver::scheduleFault(Moment moment)
{
    at(moment, [this, moment] {
        if (m_isEnding)
            return;
        // Half of the faults may replace the primary.
        const auto choices = m_random() % 2 == 0 ? primaryFaults : kinds().size();
        const auto index = m_choice == GroupFaults::All ? m_random() % choices : replacedPrimaryFaults[m_random() % 4];
        const auto& [name, fault] = kinds()[index];
        ++m_faultCounts[name];
        (this->*fault)(std::chrono::steady_clock::now());
        // Faults come in series now and then.
        const auto pause = m_random() % 3 == 0 ? pick(20, 400) : pick(600, 2500);
        scheduleFault(moment + (m_choice == GroupFaults::All ? pause : replacementInterval));
    });
}

void GroupDriver::cut(const std::string& from, const std::string& to, Moment now, Moment until)
{
    at(now, [this, from, to] {
        if (!m_isEnding)
            m_site.group().setCut(from, to, true);
    });
    at(until, [this, from, to] { m_site.group().setCut(from, to, false); });
    note(now, until, "cut from " + from + " to " + to);
}

void GroupDriver::cutSomeDirections(const std::string& one, const std::string& other, Moment now, Moment until)
{
    const auto directions = m_random() % 4;
    if (directions != 0)
        cut(one, other, now, until);
    if (directions != 1)
        cut(other, one, now, until);
}

void GroupDriver::cutMembersFromPrimary(Moment now)
{
    const auto primary = m_site.group().primary();
    const auto until = now + pick(500, 6000);
    const auto directions = m_random() % 4;
    for (const auto& member : m_site.group().runningMembers()) {
        if (member == primary)
            continue;
        if (directions != 0)
            cut(primary, member, now, until);
        if (directions != 1)
            cut(member, primary, now, until);
    }
}

void GroupDriver::cutPrimaryFromMost(Moment now)
{
    const auto primary = m_site.group().primary();
    const auto until = now + pick(4000, 9000);
    const auto connectedHost = pickReadingHost();
    cutFromOthers(primary, primary, now, until);
    for (std::size_t host = 0; host < m_site.size(); ++host) {
        if (host == connectedHost)
            continue;
        cut(hostName(host), primary, now, until);
        cut(primary, hostName(host), now, until);
    }
    if (m_random() % 2 == 0)
        cutOnReplacement(hostName(connectedHost), primary, m_site.group().attemptedReplacements(), now, until);
}

void GroupDriver::cutOnReplacement(
    const std::string& host, const std::string& primary, std::size_t attemptsBefore, Moment now, Moment until)
{
    constexpr auto checkInterval = Milliseconds(2);
    if (m_isEnding || now >= until)
        return;
    if (m_site.group().attemptedReplacements() == attemptsBefore) {
        at(now + checkInterval, [this, host, primary, attemptsBefore, until] {
            cutOnReplacement(host, primary, attemptsBefore, std::chrono::steady_clock::now(), until);
        });
        return;
    }
    cutFromOthers(host, primary, now, until);
    cutFromOthers(primary, primary, now, until);
}

void GroupDriver::cutFromOthers(const std::string& party, const std::string& primary, Moment now, Moment until)
{
    for (const auto& member : m_site.group().runningMembers()) {
        if (member == primary)
            continue;
        cut(party, member, now, until);
        cut(member, party, now, until);
    }
}

void GroupDriver::cutHostsFromPrimary(Moment now)
{
    const auto primary = m_site.group().primary();
    const auto until = now + pick(500, 6000);
    const auto count = 1 + m_random() % (m_site.size() - 1);
    const auto first = pickHost();
    for (std::size_t index = 0; index < count; ++index)
        cutSomeDirections(hostName((first + index) % m_site.size()), primary, now, until);
}

void GroupDriver::cutHostFromReplicas(Moment now)
{
    const auto primary = m_site.group().primary();
    const auto until = now + pick(500, 6000);
    const auto host = hostName(pickHost());
    for (const auto& member : m_site.group().runningMembers()) {
        if (member != primary)
            cutSomeDirections(host, member, now, until);
    }
}

void GroupDriver::crash(const std::string& member, Moment now)
{
    if (member.empty() || !m_site.group().isRunning(member))
        return;
    const auto until = now + pick(300, 6000);
    m_site.crashMember(member);
    at(until, [this, member] { m_site.returnMember(member); });
    note(now, until, member + " crashed");
}

void GroupDriver::crashPrimary(Moment now)
{
    crash(m_site.group().primary(), now);
}

void GroupDriver::crashReplica(Moment now)
{
    crash(pickReplica(), now);
}

void GroupDriver::releaseMember(Moment now)
{
    constexpr std::size_t allMembers = 3;
    const auto members = m_site.group().runningMembers();
    if (members.size() == allMembers)
        release(members[m_random() % members.size()], now);
}

void GroupDriver::releasePrimaryBehindCuts(Moment now)
{
    constexpr std::size_t allMembers = 3;
    const auto primary = m_site.group().primary();
    if (m_site.group().runningMembers().size() < allMembers || !release(primary, now))
        return;
    // The primary goes on while those that replace it can't reach it to demote it.
    const auto cutAt = now + pick(0, 150);
    const auto until = now + pick(2000, 5000);
    const auto connectedHost = pickReadingHost();
    for (std::size_t host = 0; host < m_site.size(); ++host) {
        if (host != connectedHost)
            cut(hostName(host), primary, cutAt, until);
    }
    if (m_random() % 2 == 0)
        return;
    for (const auto& member : m_site.group().runningMembers()) {
        if (member != primary)
            cut(member, primary, cutAt, until);
    }
}

bool GroupDriver::release(const std::string& member, Moment now)
{
    if (now < m_nextRelease)
        return false;
    m_nextRelease = now + releaseInterval;
    const auto until = now + pick(1500, 5000);
    m_site.drainMember(member);
    const auto registersAt = until + pick(0, 3000);
    at(until, [this, member, registersAt] {
        // A member that crashed while it was draining comes back first.
        if (!m_site.group().isRunning(member)) {
            at(std::chrono::steady_clock::now() + Milliseconds(6000), [this, member, registersAt] {
                m_site.endMember(member);
                (void)m_site.addMember(false, registersAt);
            });
            return;
        }
        m_site.endMember(member);
        (void)m_site.addMember(false, registersAt);
    });
    note(now, until, member + " released");
    return true;
}

void GroupDriver::silenceRecord(Moment now)
{
    const auto members = m_site.group().runningMembers();
    if (members.empty())
        return;
    const auto& member = members[m_random() % members.size()];
    const auto until = now + pick(3000, 7000);
    m_site.silenceRecord(member, until);
    note(now, until, member + " writes no record");
}

void GroupDriver::pauseBetween(std::size_t host, Moment from, Moment until)
{
    at(from, [this, host] {
        if (m_pauses[host]++ == 0)
            m_site.host(host).signal(SIGSTOP);
    });
    at(until, [this, host] {
        if (--m_pauses[host] == 0)
            m_site.host(host).signal(SIGCONT);
    });
}

} // namespace Auburnpost::Test
