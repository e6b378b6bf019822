#include "member/Prober.h"

#include <algorithm>
#include <utility>

namespace Auburnpost::Member {

namespace {
    constexpr std::size_t relayLimit = 256;
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
        return std::exchange(m_waiting, false) ? Step::Failed : Step::Choose;
    if (!m_waiting)
        return Step::Wait;
    if (elapsed >= m_settings.pingRepeatAfter && !std::exchange(m_repeated, true))
        return Step::Ping;
    if (elapsed >= m_settings.indirectProbeAfter && !std::exchange(m_asked, true))
        return Step::AskOthers;
    return Step::Wait;
}

std::optional<HostName> Prober::begin(Instant now, const std::vector<HostName>& live, RandomEngine& random)
{
    m_periodStart = now;
    m_repeated = false;
    m_asked = false;
    std::erase_if(m_relays, [now](const auto& item) { return item.second.expires <= now; });
    const auto isLive = [&](const HostName& name) { return std::binary_search(live.begin(), live.end(), name); };
    while (!m_round.empty() && !isLive(m_round.back()))
        m_round.pop_back();
    if (m_round.empty())
        chooseRound(live, random);
    if (m_round.empty())
        return std::nullopt;
    m_target = m_round.back();
    m_round.pop_back();
    m_waiting = true;
    m_sequence = ++m_lastSequence;
    return m_target;
}

void Prober::chooseRound(const std::vector<HostName>& live, RandomEngine& random)
{
    m_round = live;
    std::shuffle(m_round.begin(), m_round.end(), random);
}

bool Prober::answered(std::uint32_t sequence, const HostName& about)
{
    if (!m_waiting || sequence != m_sequence || about != m_target)
        return false;
    m_waiting = false;
    return true;
}

void Prober::postpone(Duration pause)
{
    m_periodStart += pause;
}

std::optional<std::uint32_t> Prober::addRelay(Instant now, Relay relay)
{
    if (m_relays.size() >= relayLimit)
        return std::nullopt;
    relay.expires = now + 2 * m_settings.protocolPeriod;
    m_relays.emplace(++m_lastSequence, std::move(relay));
    return m_lastSequence;
}

std::optional<Prober::Relay> Prober::takeRelay(std::uint32_t sequence, const HostName& about)
{
    const auto found = m_relays.find(sequence);
    if (found == m_relays.end() || found->second.target != about)
        return std::nullopt;
    auto relay = std::move(found->second);
    m_relays.erase(found);
    return relay;
}

} // namespace Auburnpost::Member
