#include "process/ConfigDriver.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

namespace Auburnpost::Test {

namespace {

    constexpr auto editInterval = std::chrono::milliseconds(400);
    constexpr auto pingInterval = std::chrono::milliseconds(50);
    constexpr std::size_t leastRoutes = 2;

} // namespace

const std::map<std::string, ConfigDriver::HostFault>& ConfigDriver::hostFaults()
{
    static const std::map<std::string, HostFault> faults {
        { "stopped", &ConfigDriver::stopHost },
        { "starved", &ConfigDriver::starveHost },
        { "killed", &ConfigDriver::killHost },
        { "reloaded", &ConfigDriver::reloadHost },
        { "store-silent", &ConfigDriver::silenceStoreFor },
        { "store-429", &ConfigDriver::refuseTooManyOf },
        { "store-503", &ConfigDriver::refuseUnavailable },
        { "store-reset", &ConfigDriver::resetStoreFor },
        { "store-late", &ConfigDriver::delayStoreFor },
        { "changes-hidden", &ConfigDriver::hideChangesFrom },
    };
    return faults;
}

const std::map<std::string, ConfigDriver::StoreFaultStep>& ConfigDriver::storeFaults()
{
    static const std::map<std::string, StoreFaultStep> faults {
        { "silent", &ConfigDriver::silenceStore },
        { "call-series", &ConfigDriver::failCallsInSeries },
        { "history-lost", &ConfigDriver::loseHistory },
        { "older-copy", &ConfigDriver::restoreCopy },
    };
    return faults;
}

ConfigDriver::ConfigDriver(ConfigSite& site, ConfigDocument initial, std::vector<std::string> databases,
    ConfigFaults faults, std::uint64_t seed)
    : m_site(site)
    , m_document(std::move(initial))
    , m_databases(std::move(databases))
    , m_faults(std::move(faults))
    , m_random(seed)
    , m_pauses(site.size(), 0)
{
    const auto now = std::chrono::steady_clock::now();
    m_edits.push_back({ m_document.version, now, now, m_document.routes });
    disturb(Disturbance::allHosts, now, now, "started");
    for (std::size_t host = 0; host < site.size(); ++host)
        m_faultyHosts.push_back(host);
    std::shuffle(m_faultyHosts.begin(), m_faultyHosts.end(), m_random);
    m_faultyHosts.resize((site.size() + 1) / 2);
}

ConfigDriver::Milliseconds ConfigDriver::pick(int leastMs, int mostMs)
{
    return Milliseconds(std::uniform_int_distribution<int>(leastMs, mostMs)(m_random));
}

void ConfigDriver::at(Moment moment, std::function<void()> action)
{
    m_actions.emplace(moment, std::move(action));
}

void ConfigDriver::repeat(Moment first, Milliseconds interval, const std::function<void()>& action)
{
    at(first, [this, first, interval, action] {
        action();
        repeat(first + interval, interval, action);
    });
}

void ConfigDriver::disturb(std::size_t host, Moment from, Moment until, const std::string& cause)
{
    m_disturbances.push_back({ host, from, until, cause });
}

void ConfigDriver::runFor(Milliseconds time)
{
    const auto start = std::chrono::steady_clock::now();
    repeat(start, editInterval, [this] {
        if (std::chrono::steady_clock::now() >= m_quietUntil)
            edit();
    });
    repeat(start, pingInterval, [this] { m_site.store().countTransaction(); });
    if (!m_faults.ofHosts.empty())
        repeat(start + m_faults.hostInterval, m_faults.hostInterval, [this] { startHostFault(); });
    if (!m_faults.ofStore.empty())
        repeat(start + pick(2000, 5000), m_faults.storeInterval, [this] { startStoreFault(); });
    while (!m_actions.empty() && m_actions.begin()->first < start + time) {
        const auto next = m_actions.extract(m_actions.begin());
        std::this_thread::sleep_until(next.key());
        next.mapped()();
    }
    std::this_thread::sleep_until(start + time);
    m_actions.clear();
    for (std::size_t host = 0; host < m_site.size(); ++host) {
        m_site.host(host).signal(SIGCONT);
        m_site.store().setFault(m_site.host(host).name(), StoreFault::None);
    }
    m_site.store().setFault("", StoreFault::None);
}

std::string ConfigDriver::faultCounts() const
{
    std::string text;
    for (const auto& [kind, count] : m_faultCounts)
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + kind;
    return text.empty() ? "none" : text;
}

void ConfigDriver::writeVersion()
{
    ConfigEdit edit { m_document.version, std::chrono::steady_clock::now(), {}, m_document.routes };
    edit.acknowledgedAt = m_site.write(m_document);
    m_edits.push_back(std::move(edit));
}

void ConfigDriver::edit()
{
    ++m_document.version;
    const auto& database = m_databases[m_random() % m_databases.size()];
    const auto route = m_document.routes.find(database);
    const std::string group = ConfigSite::groups[m_random() % ConfigSite::groups.size()];
    const bool isDropped = m_random() % 2 == 0 && m_document.routes.size() > leastRoutes;
    if (route == m_document.routes.end())
        m_document.routes[database] = group;
    else if (isDropped)
        m_document.routes.erase(route);
    else
        route->second = route->second == ConfigSite::groups[0] ? ConfigSite::groups[1] : ConfigSite::groups[0];
    writeVersion();
}

void ConfigDriver::startHostFault()
{
    const auto host = m_faultyHosts[m_random() % m_faultyHosts.size()];
    const auto& kind = m_faults.ofHosts[m_random() % m_faults.ofHosts.size()];
    ++m_faultCounts[kind];
    (this->*hostFaults().at(kind))(host, std::chrono::steady_clock::now() + pick(0, 500));
}

void ConfigDriver::startStoreFault()
{
    const auto& kind = m_faults.ofStore[m_random() % m_faults.ofStore.size()];
    ++m_faultCounts[kind];
    (this->*storeFaults().at(kind))(std::chrono::steady_clock::now());
}

void ConfigDriver::pauseBetween(std::size_t host, Moment from, Moment until)
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

void ConfigDriver::stopHost(std::size_t host, Moment now)
{
    const auto until = now + pick(500, 5500);
    pauseBetween(host, now, until);
    disturb(host, now, until, "stopped");
}

void ConfigDriver::starveHost(std::size_t host, Moment now)
{
    constexpr auto period = Milliseconds(100);
    constexpr auto pauseInPeriod = Milliseconds(80);
    const auto until = now + pick(1000, 4000);
    for (auto begin = now; begin < until; begin += period)
        pauseBetween(host, begin, begin + pauseInPeriod);
    disturb(host, now, until, "starved");
}

void ConfigDriver::killHost(std::size_t host, Moment now)
{
    const auto until = now + pick(0, 3000);
    at(now, [this, host] { m_site.host(host).kill(); });
    at(until, [this, host] {
        m_site.start(host);
        disturb(host, std::chrono::steady_clock::now(), std::chrono::steady_clock::now(), "started");
    });
    disturb(host, now, until, "killed");
}

void ConfigDriver::reloadHost(std::size_t host, Moment now)
{
    // A host that receives the signal stays in touch.
    at(now, [this, host] { m_site.host(host).signal(SIGHUP); });
}

void ConfigDriver::disturbStoreFor(std::size_t host, Moment now, StoreFault fault, const std::string& cause)
{
    const auto until = now + pick(300, 6000);
    at(now, [this, host, fault] { m_site.store().setFault(m_site.host(host).name(), fault); });
    at(until, [this, host] { m_site.store().setFault(m_site.host(host).name(), StoreFault::None); });
    disturb(host, now, until, cause);
}

void ConfigDriver::silenceStoreFor(std::size_t host, Moment now)
{
    disturbStoreFor(host, now, StoreFault::Silent, "store silent");
}

void ConfigDriver::refuseTooManyOf(std::size_t host, Moment now)
{
    disturbStoreFor(host, now, StoreFault::RefuseTooMany, "store answers 429");
}

void ConfigDriver::refuseUnavailable(std::size_t host, Moment now)
{
    disturbStoreFor(host, now, StoreFault::RefuseUnavailable, "store answers 503");
}

void ConfigDriver::resetStoreFor(std::size_t host, Moment now)
{
    disturbStoreFor(host, now, StoreFault::Reset, "store resets");
}

void ConfigDriver::delayStoreFor(std::size_t host, Moment now)
{
    disturbStoreFor(host, now, StoreFault::Late, "store answers late");
}

void ConfigDriver::hideChangesFrom(std::size_t host, Moment now)
{
    const auto until = now + pick(3000, 9000);
    at(now, [this, host] { m_site.store().setFault(m_site.host(host).name(), StoreFault::WithoutChanges); });
    at(until, [this, host] { m_site.store().setFault(m_site.host(host).name(), StoreFault::None); });
}

void ConfigDriver::silenceStore(Moment now)
{
    const auto until = now + pick(500, 5500);
    m_quietUntil = until;
    m_site.store().setFault("", StoreFault::Silent);
    at(until, [this] { m_site.store().setFault("", StoreFault::None); });
    disturb(Disturbance::allHosts, now, until, "store silent for all");
}

void ConfigDriver::failCallsInSeries(Moment now)
{
    const auto until = now + pick(4000, 6000);
    const std::size_t failures = 1 + m_random() % 2;
    m_quietUntil = until;
    m_site.store().setFault("", StoreFault::Silent);
    at(until, [this, failures] {
        m_site.store().dropCalls("op", failures);
        m_site.store().setFault("", StoreFault::None);
    });
    disturb(Disturbance::allHosts, now, until,
        "store silent for all, " + std::to_string(failures) + " further calls of each host unanswered");
}

void ConfigDriver::loseHistory(Moment now)
{
    m_site.store().discardHistory();
    disturb(Disturbance::allHosts, now, now, "history lost");
}

void ConfigDriver::restoreCopy(Moment now)
{
    // After the return a few edits get versions that were given out before; without later ones, a host that lacks one
    // of them stays without it.
    constexpr auto quietTime = Milliseconds(10000);
    const auto age = pick(1500, 6000);
    const auto returnAt = now + pick(200, 800);
    const auto rewriteAt = returnAt + pick(50, 800);
    const auto lastEditAt = rewriteAt + editInterval * static_cast<int>(m_random() % 4);
    m_quietUntil = lastEditAt + quietTime;
    m_site.store().setFault("", StoreFault::Reset);
    at(returnAt, [this, age] {
        m_site.store().restoreCopy(age);
        m_site.store().setFault("", StoreFault::None);
    });
    at(rewriteAt, [this] {
        m_site.writeTargets();
        m_site.write(m_document);
        disturb(Disturbance::allHosts, std::chrono::steady_clock::now(), std::chrono::steady_clock::now(),
            "rows written again");
    });
    for (auto moment = rewriteAt + editInterval; moment <= lastEditAt; moment += editInterval)
        at(moment, [this] { edit(); });
    disturb(
        Disturbance::allHosts, now, rewriteAt, "store back from a copy of " + std::to_string(age.count()) + " ms ago");
}

} // namespace Auburnpost::Test
