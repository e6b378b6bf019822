#include "member/Prober.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Member {

namespace {
    constexpr std::size_t maxRelays = 256;
} // namespace

Prober::Prober(MembershipSettings settings)
    : m_settings(std::move(settings))
{
}

void Prober::start(Instant now, RandomEngine& random)
{
    std::uniform_int_distribution<Duration::rep> phase(0, m_settings.protocolPeriod.count() - 1);
    m_periodStart = now - Duration(phase(random));
}

Prober::Step Prober::next(Instant now)
{
    const auto elapsed = now - m_periodStart;
    if (elapsed >= m_settings.protocolPeriod)
        return std::exchange(m_isAwaitingAck, false) ? Step::Failed : Step::BeginPeriod;
    if (!m_isAwaitingAck)
        return Step::Wait;
    if (elapsed >= m_settings.pingRepeatAfter && !std::exchange(m_hasRepeatedPing, true))
        return Step::Ping;
    if (elapsed >= m_settings.indirectProbeAfter && !std::exchange(m_hasProbedIndirectly, true))
        return Step::ProbeIndirectly;
    return Step::Wait;
}

std::optional<HostName> Prober::beginPeriod(Instant now, const std::vector<HostName>& live, RandomEngine& random)
{
    m_periodStart = now;
    m_hasRepeatedPing = false;
    m_hasProbedIndirectly = false;
    std::erase_if(m_relays, [now](const auto& item) { return item.second.expires <= now; });
    const auto isLive = [&](const HostName& name) { return std::binary_search(live.begin(), live.end(), name); };
    while (!m_roundRemaining.empty() && !isLive(m_roundRemaining.back()))
        m_roundRemaining.pop_back();
    if (m_roundRemaining.empty())
        shuffleRound(live, random);
    if (m_roundRemaining.empty())
        return std::nullopt;
    m_target = m_roundRemaining.back();
    m_roundRemaining.pop_back();
    m_isAwaitingAck = true;
    m_sequence = ++m_lastSequence;
    return m_target;
}

void Prober::shuffleRound(const std::vector<HostName>& live, RandomEngine& random)
{
    m_roundRemaining = live;
    std::shuffle(m_roundRemaining.begin(), m_roundRemaining.end(), random);
}

bool Prober::acceptAck(std::uint32_t sequence, const HostName& subject)
{
    if (!m_isAwaitingAck || sequence != m_sequence || subject != m_target)
        return false;
    m_isAwaitingAck = false;
    return true;
}

void Prober::extendDeadlines(Duration pause)
{
    m_periodStart += pause;
}

std::optional<std::uint32_t> Prober::addRelay(Instant now, Relay relay)
{
    if (m_relays.size() >= maxRelays)
        return std::nullopt;
    relay.expires = now + 2 * m_settings.protocolPeriod;
    m_relays.emplace(++m_lastSequence, std::move(relay));
    return m_lastSequence;
}

std::optional<Prober::Relay> Prober::takeRelay(std::uint32_t sequence, const HostName& subject)
{
    const auto found = m_relays.find(sequence);
    if (found == m_relays.end() || found->second.target != subject)
        return std::nullopt;
    auto relay = std::move(found->second);
    m_relays.erase(found);
    return relay;
}

} // namespace Auburnpost::Member
