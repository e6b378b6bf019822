#include "proxy/ConfigurationSimulation.h"

#include <cstdlib>
#include <iostream>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

namespace {

    constexpr std::size_t groupCount = 3;
    /// Too few connections for every host, so that sessions are forwarded to homes; and enough.
    constexpr std::size_t fewConnections = 8;
    constexpr std::size_t manyConnections = 100;
    constexpr std::size_t keptSessionsPerHost = 4;
    constexpr std::size_t newSessionCallersPerHost = 2;
    constexpr Duration copyInterval = 500ms;

    enum class StoreFaultKind : std::uint8_t {
        Silent,
        Refusing,
        Slow,
        /// It no longer has the history of changes.
        Forgetful,
    };
    constexpr std::array storeFaultKinds { "silent", "refusing", "slow", "forgetful" };

    GroupName groupAt(std::size_t index)
    {
        return GroupName("group-" + std::to_string(index));
    }

    DatabaseName databaseAt(std::size_t index)
    {
        return DatabaseName("database-" + std::to_string(index));
    }

} // namespace

ConfigurationSimulation::ConfigurationSimulation(std::uint64_t seed, const ConfigurationScenario& scenario)
    : m_random(seed)
    , m_scenario(scenario)
    , m_maxEditGap(chance(0.5) ? 2s : 10s)
    , m_maxFaultGap(chance(0.5) ? 8s : 20s)
    , m_storeFaults(scenario.hosts)
{
    m_queue.runUntil(Instant(100s));
    ConfigurationChecker::Routes routes;
    for (std::size_t database = 0; database < databaseCount; ++database)
        routes[databaseAt(database)] = groupAt(database % groupCount);
    m_checker.recordEdit(routes);
    writeConfiguration();
    writeTargets();
    m_store.saveCopy();
    for (std::size_t index = 0; index < hostCount(); ++index) {
        m_hosts.push_back(std::make_unique<ConfigurationHost>(*this, index, m_random()));
        m_checker.recordDisturbance(index, now(), now());
        for (std::size_t caller = 0; caller < keptSessionsPerHost + newSessionCallersPerHost; ++caller)
            m_callers.push_back(std::make_unique<ConfigurationCaller>(*this, index, caller < keptSessionsPerHost));
    }
    after(copyInterval, [this] { saveCopies(); });
    after(between(200ms, 500ms), [this] { renewTarget(); });
    after(between(200ms, m_maxEditGap), [this] { edit(); });
    after(3s, [this] { injectFaults(); });
}

ConfigurationSimulation::~ConfigurationSimulation() = default;

void ConfigurationSimulation::run(Duration length)
{
    m_queue.runUntil(now() + length);
}

Duration ConfigurationSimulation::between(Duration low, Duration high)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

std::size_t ConfigurationSimulation::index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

bool ConfigurationSimulation::chance(double share)
{
    return std::bernoulli_distribution(share)(m_random);
}

void ConfigurationSimulation::trace(const std::string& text) const
{
    static const bool isTraced = std::getenv("PROXY_TRACE") != nullptr;
    if (isTraced)
        std::cout << toMilliseconds(now().time_since_epoch()) << " -- " << text << '\n';
}

Duration ConfigurationSimulation::delayBetween(std::size_t left, std::size_t right) const
{
    return dataCentreOf(left) == dataCentreOf(right) ? Duration(500us) : Duration(12ms);
}

Duration ConfigurationSimulation::storeDelay(std::size_t host) const
{
    const auto& fault = m_storeFaults.at(host);
    const auto usual = dataCentreOf(host) == DataCentreName("west") ? Duration(2ms) : Duration(15ms);
    return fault.slowUntil > now() ? usual + fault.delay : usual;
}

Catalog ConfigurationSimulation::catalog(std::size_t version) const
{
    Catalog catalog;
    catalog.version = ConfigVersion(version);
    for (std::size_t group = 0; group < groupCount; ++group)
        catalog.groups[groupAt(group)] = { group == 0 || !m_scenario.hasHomes ? manyConnections : fewConnections, 0 };
    for (const auto& [database, group] : m_checker.routesOf(version))
        catalog.routes[database] = { group, Consistency::BoundedStaleness, 800ms, 1, 10s };
    return catalog;
}

TargetRecord ConfigurationSimulation::targetOf(const GroupName& group)
{
    TargetRecord record;
    record.name = TargetName("target-of-" + group.value());
    record.group = group;
    record.address = { "10.8.0.1", static_cast<std::uint16_t>(1000 + group.value().back()) };
    record.slots = 8;
    record.reportsPrimary = true;
    record.incarnation = TargetIncarnation(1);
    return record;
}

// The operator and the targets.

void ConfigurationSimulation::writeConfiguration()
{
    m_isConfigurationLost = false;
    const auto version = m_store.write(StoreTable::Configuration, "config", std::to_string(m_checker.version()));
    m_checker.recordAcknowledgement(now());
    std::string routes;
    for (const auto& [database, group] : m_checker.routes())
        routes += " " + database.value() + "=" + group.value();
    trace("configuration " + std::to_string(m_checker.version()) + " written as " + toString(version) + routes);
}

void ConfigurationSimulation::edit()
{
    after(between(200ms, m_maxEditGap), [this] { edit(); });
    if (m_isConfigurationLost)
        return;
    auto routes = m_checker.routes();
    const auto database = databaseAt(index(databaseCount));
    if (routes.contains(database) && chance(0.5))
        routes.erase(database);
    else
        routes[database] = groupAt(index(groupCount));
    m_checker.recordEdit(std::move(routes));
    writeConfiguration();
}

void ConfigurationSimulation::writeTargets()
{
    for (std::size_t group = 0; group < groupCount; ++group)
        m_store.write(StoreTable::Targets, targetOf(groupAt(group)).name.value(), groupAt(group).value());
}

void ConfigurationSimulation::renewTarget()
{
    after(between(200ms, 1s), [this] { renewTarget(); });
    const auto group = groupAt(index(groupCount));
    m_store.write(StoreTable::Targets, targetOf(group).name.value(), group.value());
}

void ConfigurationSimulation::saveCopies()
{
    after(copyInterval, [this] { saveCopies(); });
    m_store.saveCopy();
}

// Faults.

void ConfigurationSimulation::injectFaults()
{
    after(chance(0.3) ? between(0ms, 500ms) : between(1s, m_maxFaultGap), [this] { injectFaults(); });
    injectFault();
}

void ConfigurationSimulation::injectFault()
{
    std::vector<void (ConfigurationSimulation::*)()> faults;
    if (m_scenario.hostsPause)
        faults.push_back(&ConfigurationSimulation::pauseHost);
    if (m_scenario.hostsRestart)
        faults.push_back(&ConfigurationSimulation::restartHost);
    if (m_scenario.storeFails)
        faults.push_back(&ConfigurationSimulation::disturbStore);
    if (m_scenario.storeReturnsFromCopy)
        faults.push_back(&ConfigurationSimulation::returnFromCopy);
    if (!faults.empty())
        (this->*faults[index(faults.size())])();
}

void ConfigurationSimulation::pauseHost()
{
    const auto paused = index(hostCount());
    const auto length = between(100ms, 6s);
    if (host(paused).isKilled())
        return;
    trace("pause of host " + std::to_string(paused) + " for " + std::to_string(toMilliseconds(length)) + " ms");
    m_checker.recordDisturbance(paused, now(), now() + length);
    host(paused).pause(now() + length);
}

void ConfigurationSimulation::restartHost()
{
    const auto restarted = index(hostCount());
    const auto downTime = between(100ms, 3s);
    if (host(restarted).isKilled())
        return;
    trace("kill of host " + std::to_string(restarted));
    m_checker.recordDisturbance(restarted, now(), now() + downTime);
    host(restarted).kill();
    for (const auto& caller : m_callers) {
        if (caller->host() == restarted)
            caller->closed();
    }
    after(downTime, [this, restarted] {
        trace("start of host " + std::to_string(restarted));
        m_checker.recordStart(restarted);
        m_killedHosts.push_back(std::move(m_hosts[restarted]));
        m_hosts[restarted] = std::make_unique<ConfigurationHost>(*this, restarted, m_random());
    });
}

void ConfigurationSimulation::disturbStore()
{
    const auto length = between(100ms, 6s);
    const auto kind = static_cast<StoreFaultKind>(index(storeFaultKinds.size()));
    const bool isForAll = chance(0.5);
    const auto first = isForAll ? 0 : index(hostCount());
    const auto end = isForAll ? hostCount() : first + 1;
    trace(std::string(storeFaultKinds[static_cast<std::size_t>(kind)]) + " store for hosts " + std::to_string(first)
        + " to " + std::to_string(end - 1) + " for " + std::to_string(toMilliseconds(length)) + " ms");
    if (kind == StoreFaultKind::Forgetful)
        m_store.forgetHistory();
    if (m_scenario.callsFailInSeries)
        after(length, [this, first, end] { failCallsInSeries(first, end); });
    for (auto host = first; host < end; ++host) {
        auto& fault = m_storeFaults[host];
        m_checker.recordDisturbance(host, now(), now() + length);
        if (kind == StoreFaultKind::Silent) {
            fault.silentUntil = now() + length;
        } else if (kind == StoreFaultKind::Refusing) {
            fault.refusingUntil = now() + length;
        } else if (kind == StoreFaultKind::Slow) {
            fault.slowUntil = now() + length;
            fault.delay = between(20ms, 2s);
        }
    }
}

void ConfigurationSimulation::failCalls(std::size_t host, std::deque<SeriesFailure> series, Duration peersSilence)
{
    for (const auto failure : series)
        trace(
            "a call of host " + std::to_string(host) + " will fail, kind " + std::to_string(static_cast<int>(failure)));
    auto& fault = m_storeFaults.at(host);
    fault.series = std::move(series);
    fault.peersSilentUntil = now() + peersSilence;
}

void ConfigurationSimulation::failCallsInSeries(std::size_t first, std::size_t end)
{
    constexpr std::size_t longestSeries = 3;
    constexpr std::size_t kinds = 3;
    constexpr Duration longestSilence = 6s;
    for (auto host = first; host < end; ++host) {
        std::deque<SeriesFailure> series(index(longestSeries + 1));
        for (auto& failure : series)
            failure = static_cast<SeriesFailure>(index(kinds));
        failCalls(host, std::move(series), chance(0.5) ? longestSilence : Duration {});
    }
}

std::optional<SeriesFailure> ConfigurationSimulation::nextFailure(std::size_t host, bool isRead)
{
    auto& series = m_storeFaults.at(host).series;
    if (series.empty() || isStoreSilent(host) || isStoreRefusing(host))
        return {};
    const auto failure = series.front();
    // The poll that is told that the history is gone leads to the read that is rejected.
    if (failure != SeriesFailure::RejectedRead || isRead)
        series.pop_front();
    return failure;
}

void ConfigurationSimulation::breakFollowing(std::size_t host, std::vector<CallFault> faults, Duration length)
{
    trace("host " + std::to_string(host) + " follows wrongly for " + std::to_string(toMilliseconds(length)) + " ms");
    auto& fault = m_storeFaults.at(host);
    fault.callFaults = std::move(faults);
    fault.callFaultsUntil = now() + length;
}

std::optional<CallFault> ConfigurationSimulation::nextCallFault(std::size_t host, StoreTable table)
{
    const auto& fault = m_storeFaults.at(host);
    if (table != StoreTable::Configuration || now() >= fault.callFaultsUntil || fault.callFaults.empty())
        return {};
    return fault.callFaults[index(fault.callFaults.size())];
}

void ConfigurationSimulation::silenceStore(std::size_t host, Duration length)
{
    trace("silent store for host " + std::to_string(host) + " for " + std::to_string(toMilliseconds(length)) + " ms");
    m_checker.recordDisturbance(host, now(), now() + length);
    m_storeFaults.at(host).silentUntil = now() + length;
}

void ConfigurationSimulation::returnFromCopy()
{
    if (m_isConfigurationLost)
        return;
    constexpr std::size_t maxCopiesAgo = 12;
    const auto copiesAgo = index(maxCopiesAgo);
    trace("the store returns from a copy, " + std::to_string(copiesAgo) + " copies ago");
    const auto downTime = between(0ms, 1s);
    for (std::size_t host = 0; host < hostCount(); ++host) {
        m_checker.recordDisturbance(host, now(), now() + downTime);
        m_storeFaults[host].silentUntil = std::max(m_storeFaults[host].silentUntil, now() + downTime);
    }
    m_isConfigurationLost = true;
    m_store.returnFromCopy(copiesAgo);
    after(downTime + between(0ms, 1500ms), [this] { writeConfiguration(); });
    after(downTime + between(0ms, 1500ms), [this] { writeTargets(); });
}

// Callers.

DatabaseName ConfigurationSimulation::chooseDatabase()
{
    return databaseAt(index(databaseCount));
}

SessionId ConfigurationSimulation::addSession(ConfigurationCaller& caller)
{
    const SessionId id(++m_lastSession);
    m_sessions[id] = &caller;
    return id;
}

Session::StatementId ConfigurationSimulation::addStatement(const ConfigurationChecker::Request& request)
{
    const Session::StatementId id(std::to_string(m_statements.size()));
    m_statements[id] = request;
    return id;
}

void ConfigurationSimulation::statementRun(
    const Session::StatementId& id, const GroupName& group, const ConfigurationChecker::Decider& decider)
{
    m_checker.checkDecision(now(), m_statements.at(id), group, decider);
}

ConfigurationCaller* ConfigurationSimulation::callerOf(SessionId id)
{
    const auto caller = m_sessions.find(id);
    return caller == m_sessions.end() ? nullptr : caller->second;
}

void ConfigurationSimulation::accepted(SessionId id)
{
    if (auto* const caller = callerOf(id))
        caller->accepted();
}

void ConfigurationSimulation::refused(
    SessionId id, const Session::Failure& failure, const ConfigurationChecker::Decider& decider)
{
    if (auto* const caller = callerOf(id))
        caller->refused(failure, decider);
}

void ConfigurationSimulation::answered(
    SessionId id, const Session::Answer& answer, const ConfigurationChecker::Decider& decider)
{
    if (auto* const caller = callerOf(id))
        caller->answered(answer, decider);
}

void ConfigurationSimulation::closed(SessionId id)
{
    if (auto* const caller = callerOf(id))
        caller->closed();
}

} // namespace Auburnpost::Proxy
