#include "member/GossipNetwork.h"

#include "base/Invariant.h"

#include <algorithm>

namespace Auburnpost::MemberTest {

using namespace Member;

namespace {
    constexpr std::size_t dataCentres = 3;
    constexpr std::uint64_t firstIncarnation = 1'700'000'000'000'000;
} // namespace

GossipNetwork::GossipNetwork(std::size_t hosts, std::uint64_t seed, MembershipSettings settings, NetworkFaults faults)
    : m_settings(std::move(settings))
    , m_faults(faults)
    , m_random(seed)
{
    if (m_settings.seeds.empty())
        m_settings.seeds = { addressOf(0), addressOf(1), addressOf(2) };
    for (std::size_t host = 0; host < hosts; ++host)
        add();
}

HostName GossipNetwork::nameOf(std::size_t host)
{
    return HostName("entry-host-" + std::to_string(host));
}

SocketAddress GossipNetwork::addressOf(std::size_t host)
{
    return { "127.1." + std::to_string(host / 200) + "." + std::to_string(host % 200 + 1), 7946 };
}

HostDescription GossipNetwork::describe(std::size_t host) const
{
    auto peers = addressOf(host);
    peers.port = 7947;
    const auto startMicroseconds = static_cast<std::uint64_t>(m_now.time_since_epoch().count());
    return { nameOf(host), DataCentreName("data-centre-" + std::to_string(host % dataCentres)), addressOf(host), peers,
        Incarnation(firstIncarnation + startMicroseconds), {} };
}

std::size_t GossipNetwork::add()
{
    m_hosts.emplace_back();
    start(m_hosts.size() - 1);
    return m_hosts.size() - 1;
}

void GossipNetwork::start(std::size_t host)
{
    auto& entry = m_hosts[host];
    entry.member = std::make_unique<Membership>(describe(host), m_settings);
    entry.incarnations.clear();
    entry.unread.clear();
    entry.pausedUntil = m_now;
    ++entry.generation;
    const auto phase = static_cast<Duration::rep>(uniform() * static_cast<double>(m_settings.tickInterval.count()));
    schedule({ m_now + Duration(phase), 0, host, entry.generation, true, {}, {} });
}

void GossipNetwork::kill(std::size_t host)
{
    m_hosts[host].member.reset();
}

void GossipNetwork::restart(std::size_t host)
{
    start(host);
}

void GossipNetwork::pause(std::size_t host, Duration duration)
{
    m_hosts[host].pausedUntil = m_now + duration;
}

void GossipNetwork::partition(const std::function<int(std::size_t)>& groupOf)
{
    m_groupOf = groupOf;
}

void GossipNetwork::run(Duration duration)
{
    runUntil([] { return false; }, duration);
}

Duration GossipNetwork::runUntil(const std::function<bool()>& condition, Duration limit)
{
    const auto start = m_now;
    auto nextCheck = m_now;
    while (m_now < start + limit) {
        if (m_now >= nextCheck) {
            if (condition())
                return m_now - start;
            nextCheck = m_now + m_settings.tickInterval;
        }
        const auto event = m_events.top();
        if (event.at > start + limit)
            break;
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    m_now = start + limit;
    return limit;
}

void GossipNetwork::handle(const Event& event)
{
    auto& host = m_hosts[event.host];
    if (!host.member || event.generation != host.generation)
        return;
    if (m_now < host.pausedUntil) {
        if (event.isTick)
            schedule({ host.pausedUntil, 0, event.host, host.generation, true, {}, {} });
        else
            host.unread.emplace_back(event.from, event.bytes);
        return;
    }
    // After a pause the timers run before the datagrams that arrived meanwhile are read from the socket.
    if (event.isTick) {
        perform(event.host, host.member->tick(m_now, m_random));
        scheduleTick(event.host);
    }
    for (const auto& [from, bytes] : std::exchange(host.unread, {}))
        deliver(event.host, from, bytes);
    if (!event.isTick)
        deliver(event.host, event.from, event.bytes);
}

void GossipNetwork::deliver(std::size_t host, const SocketAddress& from, const std::string& bytes)
{
    const auto actions = m_hosts[host].member->handleDatagram(m_now, from, bytes);
    AUBURNPOST_INVARIANT(actions.has_value(), "a host rejected a datagram of another host");
    perform(host, *actions);
}

void GossipNetwork::perform(std::size_t host, const MembershipActions& actions)
{
    for (const auto& action : actions) {
        if (const auto* const datagram = std::get_if<SendDatagram>(&action))
            transmit(host, *datagram);
        if (const auto* const change = std::get_if<HostChanged>(&action)) {
            auto& seen = m_hosts[host].incarnations[change->record.host.name];
            AUBURNPOST_INVARIANT(change->record.host.incarnation >= seen, "an observed incarnation decreased");
            seen = change->record.host.incarnation;
            m_changes.push_back({ host, m_now, *change });
        }
    }
}

void GossipNetwork::transmit(std::size_t from, const SendDatagram& datagram)
{
    AUBURNPOST_INVARIANT(
        datagram.bytes.size() <= m_settings.datagramLimitBytes, "a datagram exceeds the configured size limit");
    for (int copy = 0; copy < (uniform() < m_faults.duplication ? 2 : 1); ++copy) {
        const auto spread = static_cast<double>((m_faults.delayMaximum - m_faults.delayMinimum).count());
        const auto delay = m_faults.delayMinimum + Duration(static_cast<Duration::rep>(uniform() * spread));
        const bool isLost = uniform() < m_faults.loss;
        std::size_t to = 0;
        const auto& ip = datagram.to.ip;
        const auto lastDot = ip.rfind('.');
        to = std::stoul(ip.substr(6, lastDot - 6)) * 200 + std::stoul(ip.substr(lastDot + 1)) - 1;
        const bool isCut = m_groupOf && m_groupOf(from) != m_groupOf(to);
        if (isLost || isCut || to >= m_hosts.size() || !m_hosts[to].member)
            continue;
        schedule({ m_now + delay, 0, to, m_hosts[to].generation, false, addressOf(from), datagram.bytes });
    }
}

void GossipNetwork::scheduleTick(std::size_t host)
{
    schedule({ m_now + m_settings.tickInterval, 0, host, m_hosts[host].generation, true, {}, {} });
}

void GossipNetwork::schedule(Event event)
{
    event.order = ++m_order;
    m_events.push(std::move(event));
}

double GossipNetwork::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

std::size_t GossipNetwork::count(HostChange change) const
{
    return static_cast<std::size_t>(std::count_if(
        m_changes.begin(), m_changes.end(), [change](const SeenChange& seen) { return seen.change.change == change; }));
}

bool GossipNetwork::hasConverged()
{
    std::vector<HostName> running;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (isRunning(host))
            running.push_back(nameOf(host));
    }
    std::sort(running.begin(), running.end());
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const Host& host) {
        if (!host.member)
            return true;
        const auto live = host.member->liveHosts();
        return std::equal(
            live.begin(), live.end(), running.begin(), running.end(), [](const auto& record, const auto& name) {
                return record.host.name == name && record.health == HostHealth::Alive;
            });
    });
}

std::size_t GossipNetwork::hostsSeeingLive(std::size_t subject)
{
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const Host& host) {
        const bool isViewer = host.member && host.member->self().host.name != nameOf(subject);
        const auto* const record = isViewer ? host.member->find(nameOf(subject)) : nullptr;
        return record && record->isLive();
    }));
}

} // namespace Auburnpost::MemberTest
