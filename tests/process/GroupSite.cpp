#include "process/GroupSite.h"

#include "process/ConnectionOwner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Auburnpost::Test {

namespace {

    using Json = nlohmann::json;

    constexpr auto groupName = "g-1";
    constexpr std::size_t memberCount = 3;
    constexpr int connectionLimit = 96;
    constexpr auto recordInterval = std::chrono::milliseconds(1200);
    constexpr auto recordLifetime = 3 * recordInterval;
    constexpr auto recordStep = std::chrono::milliseconds(20);

    std::string makeConfiguration()
    {
        constexpr const char* kinds[] { "primary", "read_your_writes", "bounded_staleness" };
        const std::chrono::milliseconds staleness[] { std::chrono::milliseconds(0), GroupSite::readYourWritesStaleness,
            GroupSite::boundedStaleness };
        Json routes = Json::array();
        for (std::size_t index = 0; index < GroupSite::databases.size(); ++index) {
            Json route { { "Name", "r-" + std::to_string(index) }, { "Host", GroupSite::databases[index] },
                { "Kind", kinds[index] }, { "TimeoutMs", 800 }, { "Priority", 0 }, { "Service", groupName } };
            if (index > 0)
                route["MaxStalenessMs"] = staleness[index].count();
            routes.push_back(route);
        }
        const Json service { { "Name", groupName }, { "ConnectionLimit", connectionLimit }, { "SyncReplicas", 1 } };
        return Json {
            { "Version", 1 }, { "Routes", routes }, { "Services", Json::array({ service }) },
            { "Limits", { { "TxIdleMs", 3000 } } }
        }.dump();
    }

    std::uint64_t unixMilliseconds()
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
    }

} // namespace

GroupSite::GroupSite(std::size_t hosts, std::uint64_t seed)
    : m_group(seed)
    , m_processes(hosts)
{
    m_store.setPromotionHandler([this](const PromotionCall& call) {
        return call.group == groupName ? m_group.promote(call.target, call.holder, call.token) : 409;
    });
    m_store.write("op", "config", makeConfiguration());
    for (std::size_t index = 0; index < memberCount; ++index)
        (void)addMember(index == 0, Moment());
    m_records = std::thread([this] { keepRecords(); });
    for (std::size_t index = 0; index < hosts; ++index) {
        ProxyHostOptions options;
        options.name = "host-" + std::to_string(index + 1);
        options.storePort = m_store.port();
        m_hosts.push_back(std::make_unique<ProxyHost>(options, m_folder));
    }
    for (std::size_t index = 0; index < hosts; ++index)
        startHost(index);
    for (const auto& host : m_hosts) {
        const bool isServing = eventually([&] {
            return std::all_of(databases.begin(), databases.end(),
                [&](const std::string& database) { return host->servesRequest(database); });
        });
        if (isServing)
            continue;
        m_folder.keep();
        m_isStopping = true;
        m_records.join();
        throw std::runtime_error(host->name() + " does not serve; logs: " + m_folder.path());
    }
}

GroupSite::~GroupSite()
{
    m_isStopping = true;
    m_records.join();
    m_hosts.clear();
    m_members.clear();
}

void GroupSite::startHost(std::size_t index)
{
    std::vector<std::string> seeds;
    for (std::size_t step = 1; step < std::min<std::size_t>(m_hosts.size(), 4); ++step)
        seeds.push_back(localAddress(m_hosts[(index + step) % m_hosts.size()]->peerPort()));
    m_hosts[index]->start(seeds);
    m_processes[index] = m_hosts[index]->pid();
}

void GroupSite::killHost(std::size_t index)
{
    m_processes[index] = 0;
    m_hosts[index]->kill();
}

std::string GroupSite::findHost(std::uint16_t remotePort, std::uint16_t localPort) const
{
    const std::vector<pid_t> processes(m_processes.begin(), m_processes.end());
    const auto index = findConnectionOwner(remotePort, localPort, processes);
    return index == processes.size() ? std::string() : "host-" + std::to_string(index + 1);
}

std::string GroupSite::addMember(bool isPrimary, Moment registersAt)
{
    const auto name = "t-" + std::to_string(++m_startedMembers);
    m_group.add(name, isPrimary);
    const std::lock_guard lock(m_mutex);
    auto& member = m_members[name];
    member.born = unixMilliseconds();
    member.silentUntil = registersAt;
    member.target = std::make_unique<GroupTarget>(m_group, GroupTargetOptions { groupName, name, connectionLimit },
        [this](std::uint16_t remotePort, std::uint16_t localPort) { return findHost(remotePort, localPort); });
    return name;
}

void GroupSite::crashMember(const std::string& name)
{
    m_group.crash(name);
    const std::lock_guard lock(m_mutex);
    m_members.at(name).target->stop();
}

void GroupSite::returnMember(const std::string& name)
{
    m_group.restart(name);
    const std::lock_guard lock(m_mutex);
    auto& member = m_members.at(name);
    member.born = unixMilliseconds();
    member.sequence = 0;
    member.reportedAt = {};
    member.target->start();
}

void GroupSite::drainMember(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    m_members.at(name).isLeaving = true;
}

void GroupSite::endMember(const std::string& name)
{
    crashMember(name);
    m_store.remove("servers", name);
    const std::lock_guard lock(m_mutex);
    m_members.erase(name);
}

void GroupSite::silenceRecord(const std::string& name, Moment until)
{
    const std::lock_guard lock(m_mutex);
    m_members.at(name).silentUntil = until;
}

void GroupSite::keepRecords()
{
    while (!m_isStopping) {
        {
            const std::lock_guard lock(m_mutex);
            for (auto& [name, member] : m_members)
                keepRecord(name, member, std::chrono::steady_clock::now());
        }
        std::this_thread::sleep_for(recordStep);
    }
}

void GroupSite::keepRecord(const std::string& name, Member& member, Moment now)
{
    if (!m_group.isRunning(name) || now < member.silentUntil) {
        if (member.isRegistered && now - member.reportedAt > recordLifetime) {
            m_store.remove("servers", name);
            member.isRegistered = false;
        }
        return;
    }
    const bool isPrimary = m_group.status(name).isPrimary;
    const bool isChanged
        = !member.isRegistered || isPrimary != member.reportedPrimary || member.isLeaving != member.reportedLeaving;
    if (!isChanged && now - member.reportedAt < recordInterval)
        return;
    const Json record { { "Service", groupName }, { "Address", localAddress(member.target->port()) },
        { "Zone", "zone-a" }, { "Version", "v1" }, { "Slots", 16 },
        { "State", member.isLeaving ? "draining" : "ready" }, { "Sequence", ++member.sequence },
        { "ColdRemainingMs", 0 }, { "born", member.born }, { "DatabaseRole", isPrimary ? "primary" : "replica" } };
    m_store.write("servers", name, record.dump());
    member.isRegistered = true;
    member.reportedPrimary = isPrimary;
    member.reportedLeaving = member.isLeaving;
    member.reportedAt = now;
}

} // namespace Auburnpost::Test
