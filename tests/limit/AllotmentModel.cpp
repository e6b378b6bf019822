#include "limit/AllotmentModel.h"

#include "limit/AllotmentCodec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <stdexcept>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

namespace {

    constexpr Duration stepTime = 10ms;
    constexpr Duration tickTime = 30ms;
    /// One-way delays in a region and between regions, as in the deployments.
    constexpr Duration nearDelay = 500us;
    constexpr Duration farDelay = 20ms;
    constexpr Duration maxOutage = 6s;
    /// Maximum difference of a host's clock rate from real time.
    constexpr double maxDrift = 0.0004;

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    SocketAddress addressOf(std::size_t index)
    {
        return { "127.0.0.1", static_cast<std::uint16_t>(1000 + index) };
    }

} // namespace

AllotmentModel::AllotmentModel(AllotmentModelSettings settings, RandomEngine::result_type seed)
    : m_settings(std::move(settings))
    , m_random(seed)
{
    for (const auto& [name, limit] : m_settings.limits) {
        m_changes[name].push_back({ 0s, limit });
        m_nextArrival[name] = 0;
    }
    for (std::size_t count = 0; count < m_settings.hosts; ++count)
        addHost();
    for (auto& host : m_hosts) {
        host.knownHosts = m_hosts.size();
        start(host);
    }
}

double AllotmentModel::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

Duration AllotmentModel::upTo(Duration limit)
{
    return Duration(static_cast<Duration::rep>(uniform() * static_cast<double>(limit.count())));
}

bool AllotmentModel::happens(double perSecond)
{
    return perSecond > 0 && uniform() < perSecond * seconds(stepTime);
}

Instant AllotmentModel::clockOf(const Host& host) const
{
    const auto elapsed = static_cast<double>(m_now.count()) * host.clockRate;
    return Instant(host.clockOffset + Duration(static_cast<Duration::rep>(elapsed)));
}

void AllotmentModel::addHost()
{
    Host host;
    host.index = m_hosts.size();
    host.record = { HostName("host-" + std::to_string(host.index)),
        DataCentreName("dc-" + std::to_string(regionOf(host))), addressOf(host.index) };
    host.clockOffset = 1h + upTo(1000h);
    host.clockRate = 1 + maxDrift * (2 * uniform() - 1);
    m_hosts.push_back(std::move(host));
}

void AllotmentModel::start(Host& host)
{
    const HostStart start(static_cast<std::uint32_t>(1 + m_random() % 0xfffffffeU));
    host.allotments = std::make_unique<Allotments>(clockOf(host), host.record.name, m_settings.rules, start);
    host.isRunning = true;
    host.resumesAt = {};
    configure(host);
}

void AllotmentModel::configure(Host& host)
{
    std::map<OrganisationName, AllotmentLimit> limits;
    for (const auto& [name, changes] : m_changes)
        limits[name] = changes.back().limit;
    std::vector<AllotmentHost> known;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (index < host.knownHosts || index == host.index)
            known.push_back(m_hosts[index].record);
    }
    host.allotments->setLimits(clockOf(host), limits);
    host.allotments->setHosts(clockOf(host), known);
}

void AllotmentModel::injectFaults()
{
    const auto& faults = m_settings.faults;
    for (auto& host : m_hosts) {
        if (!host.isRunning && m_now >= host.resumesAt) {
            start(host);
        } else if (host.isRunning && m_now >= host.resumesAt) {
            if (happens(faults.pausesPerSecond / static_cast<double>(m_hosts.size())))
                host.resumesAt = m_now + upTo(maxOutage);
            if (happens(faults.crashesPerSecond / static_cast<double>(m_hosts.size()))) {
                host.isRunning = false;
                host.resumesAt = m_now + upTo(maxOutage);
            }
        }
    }
    if (faults.crashesAllAtOnce && happens(0.03)) {
        for (auto& host : m_hosts) {
            host.isRunning = false;
            host.resumesAt = m_now + upTo(1s);
        }
    }
    if (!m_isPartitioned && happens(faults.partitionsPerSecond)) {
        m_isPartitioned = true;
        m_partitionEndsAt = m_now + upTo(2 * maxOutage);
        for (auto& host : m_hosts)
            host.part = m_random() % 3;
    }
    if (m_isPartitioned && m_now >= m_partitionEndsAt)
        m_isPartitioned = false;
    bool hasChanged = false;
    if (happens(faults.joinsPerSecond)) {
        addHost();
        m_hosts.back().knownHosts = m_hosts.size();
        start(m_hosts.back());
        hasChanged = true;
    }
    if (happens(faults.limitChangesPerSecond)) {
        auto changed = std::next(m_changes.begin(), static_cast<std::ptrdiff_t>(m_random() % m_changes.size()));
        const auto& first = changed->second.front().limit;
        const auto factor = 0.3 + 1.4 * uniform();
        changed->second.push_back({ m_now, { first.ratePerSecond * factor, first.burst * factor } });
        hasChanged = true;
    }
    if (hasChanged) {
        for (const auto& host : m_hosts)
            m_configurations.emplace(m_now + upTo(faults.propagation), host.index);
    }
    while (!m_configurations.empty() && m_configurations.begin()->first <= m_now) {
        auto& host = m_hosts[m_configurations.begin()->second];
        m_configurations.erase(m_configurations.begin());
        host.knownHosts = m_hosts.size();
        if (host.isRunning)
            configure(host);
    }
}

void AllotmentModel::send(const Host& from, const std::vector<AllotmentMessage>& messages)
{
    const auto& faults = m_settings.faults;
    for (const auto& message : messages) {
        const auto bytes = encode(message.body);
        m_sent.emplace_back(m_now, bytes.size());
        const auto& to = m_hosts[message.to.port - 1000U];
        if ((m_isPartitioned && from.part != to.part) || uniform() < faults.loss)
            continue;
        const auto copies = uniform() < faults.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            auto delay = regionOf(from) == regionOf(to) ? nearDelay : farDelay;
            if (uniform() < faults.lateness)
                delay += upTo(faults.longDelay);
            m_datagrams.emplace(m_now + delay, Datagram { from.record.address, message.to, bytes });
        }
    }
}

void AllotmentModel::deliver()
{
    while (!m_datagrams.empty() && m_datagrams.begin()->first <= m_now) {
        const auto datagram = m_datagrams.begin()->second;
        const auto at = m_datagrams.begin()->first;
        m_datagrams.erase(m_datagrams.begin());
        auto& host = m_hosts[datagram.to.port - 1000U];
        if (!host.isRunning)
            continue;
        if (m_now < host.resumesAt) {
            // The socket of a paused host keeps its datagrams.
            m_datagrams.emplace(std::max(host.resumesAt, at + stepTime), datagram);
            continue;
        }
        const auto body = decodeAllotment(datagram.bytes);
        if (!body)
            throw std::logic_error("a datagram of the model cannot be decoded");
        send(host, host.allotments->messageReceived(clockOf(host), datagram.from, *body));
    }
}

void AllotmentModel::demand()
{
    std::size_t number = 0;
    for (auto& [name, arrival] : m_nextArrival) {
        const auto rate = m_settings.limits.at(name).ratePerSecond * m_settings.load;
        const auto first = number++ * 5;
        while (arrival < seconds(m_now)) {
            arrival -= std::log(1 - uniform()) / rate;
            const auto chosen = first + m_random() % m_settings.hostsPerOrganisation;
            auto& host = m_hosts[chosen % m_hosts.size()];
            const bool isPeak
                = m_settings.loadPeriod == Duration {} || m_now % m_settings.loadPeriod >= m_settings.loadPeriod / 2;
            if (!isPeak || !host.isRunning || m_now < host.resumesAt)
                continue;
            const bool isAdmitted = host.allotments->admit(clockOf(host), name).isAdmitted;
            m_operations[name].push_back({ m_now, isAdmitted });
        }
    }
}

void AllotmentModel::step()
{
    injectFaults();
    deliver();
    demand();
    for (auto& host : m_hosts) {
        const bool isDue = (m_now / stepTime + static_cast<Duration::rep>(host.index)) % (tickTime / stepTime) == 0;
        if (isDue && host.isRunning && m_now >= host.resumesAt)
            send(host, host.allotments->tick(clockOf(host)));
    }
}

void AllotmentModel::run()
{
    for (; m_now < m_settings.duration; m_now += stepTime)
        step();
}

AllotmentModel::Totals AllotmentModel::totalsFrom(Duration from) const
{
    Totals totals;
    for (const auto& [name, operations] : m_operations) {
        for (const auto& operation : operations) {
            if (operation.at < from)
                continue;
            ++totals.asked;
            totals.refused += operation.isAdmitted ? 0 : 1;
        }
    }
    for (const auto& [at, bytes] : m_sent) {
        if (at < from)
            continue;
        ++totals.datagrams;
        totals.bytes += bytes;
    }
    return totals;
}

std::string AllotmentModel::describeRefusals(Duration from) const
{
    std::string text;
    for (const auto& [name, operations] : m_operations) {
        std::size_t asked = 0;
        std::size_t refused = 0;
        for (const auto& operation : operations) {
            asked += operation.at >= from ? 1 : 0;
            refused += operation.at >= from && !operation.isAdmitted ? 1 : 0;
        }
        text += " " + name.value() + " " + std::to_string(refused) + "/" + std::to_string(asked);
    }
    return text;
}

double AllotmentModel::allowed(const OrganisationName& name, Duration from) const
{
    // Up to one propagation time and one window after a change, the former limit may still be in force.
    const auto& rules = m_settings.rules;
    const auto& changes = m_changes.at(name);
    double most = 0;
    for (std::size_t index = 0; index < changes.size(); ++index) {
        const bool isOver = index + 1 < changes.size()
            && changes[index + 1].at + m_settings.faults.propagation + rules.window <= from;
        if (isOver || changes[index].at > from + rules.window)
            continue;
        const auto& limit = changes[index].limit;
        const auto bound
            = (limit.ratePerSecond * seconds(rules.window) + limit.burst) * (1 + rules.overage) + rules.slack;
        most = std::max(most, bound);
    }
    return most;
}

AllotmentModel::Overrun AllotmentModel::worstWindow() const
{
    Overrun worst;
    for (const auto& [name, operations] : m_operations) {
        std::vector<Duration> admitted;
        for (const auto& operation : operations) {
            if (operation.isAdmitted)
                admitted.push_back(operation.at);
        }
        for (std::size_t first = 0, end = 0; first < admitted.size(); ++first) {
            while (end < admitted.size() && admitted[end] < admitted[first] + m_settings.rules.window)
                ++end;
            const Overrun window { name, static_cast<double>(end - first), allowed(name, admitted[first]) };
            if (worst.allowed == 0 || window.admitted * worst.allowed > worst.admitted * window.allowed)
                worst = window;
        }
    }
    return worst;
}

} // namespace Auburnpost::Limit
