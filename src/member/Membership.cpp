#include "member/Membership.h"

#include "member/GossipDatagram.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Auburnpost::Member {

namespace {

    /// Number of contact addresses that a host without live peers tries at once.
    constexpr std::size_t joinFanout = 3;

    Duration randomPhase(Duration interval, RandomEngine& random)
    {
        std::uniform_int_distribution<Duration::rep> distribution(0, interval.count());
        return Duration(distribution(random));
    }

    /// @return a random duration from half to one and a half times @p interval.
    Duration jittered(Duration interval, RandomEngine& random)
    {
        return interval / 2 + randomPhase(interval, random);
    }

    void addChanges(const HostRecord* before, const HostRecord& after, MembershipActions& actions)
    {
        const auto add = [&](HostChange change) { actions.emplace_back(HostChanged { change, after }); };
        const bool wasLive = before && before->isLive();
        if (!after.isLive()) {
            if (wasLive)
                add(HostChange::Dead);
            return;
        }
        const bool isRestarted = wasLive && before->host.startIncarnation != after.host.startIncarnation;
        const bool isSameProcess = wasLive && !isRestarted;
        if (!wasLive)
            add(HostChange::Joined);
        else if (isRestarted)
            add(HostChange::Restarted);
        const bool wasSuspect = isSameProcess && before->health == HostHealth::Suspect;
        const bool isSuspect = after.health == HostHealth::Suspect;
        if (isSuspect && !wasSuspect)
            add(HostChange::Suspected);
        if (!isSuspect && wasSuspect)
            add(HostChange::SuspicionCleared);
        if (after.leaving && !(isSameProcess && before->leaving))
            add(HostChange::Leaving);
    }

} // namespace

Membership::Membership(HostDescription self, MembershipSettings settings)
    : m_settings(std::move(settings))
    , m_prober(m_settings)
{
    self.startIncarnation = self.incarnation;
    m_self.host = std::move(self);
    m_highestVersionHost = m_self.host.name;
}

MembershipActions Membership::tick(Instant now, RandomEngine& random)
{
    MembershipActions actions;
    compensatePause(now);
    if (!std::exchange(m_hasStarted, true))
        start(now, random);
    expireSuspicions(now, actions);
    probe(now, random, actions);
    sendGossip(now, random, actions);
    exchangeDigest(now, random, actions);
    reconnect(now, random, actions);
    return actions;
}

void Membership::start(Instant now, RandomEngine& random)
{
    m_prober.start(now, random);
    m_nextGossip = now;
    m_nextDigestExchange = now + randomPhase(m_settings.digestInterval, random);
    m_nextReconnect = now;
}

void Membership::compensatePause(Instant now)
{
    const auto last = std::exchange(m_lastCallAt, now);
    if (!last || now - *last <= m_settings.pauseTolerance)
        return;
    // Responses received during the pause are still unread in the socket, so the pause does not count towards
    // deadlines.
    const auto pause = now - *last;
    for (auto& item : m_suspicionEnds)
        item.second += pause;
    m_prober.extendDeadlines(pause);
    ++m_counters.pauses;
}

void Membership::expireSuspicions(Instant now, MembershipActions& actions)
{
    std::vector<HostName> expired;
    for (const auto& [name, end] : m_suspicionEnds) {
        if (end <= now)
            expired.push_back(name);
    }
    for (const auto& name : expired) {
        auto record = *m_table.find(name);
        record.health = HostHealth::Dead;
        merge(now, record, Source::Gossip, actions);
    }
}

void Membership::probe(Instant now, RandomEngine& random, MembershipActions& actions)
{
    for (auto step = m_prober.next(now); step != Prober::Step::Wait; step = m_prober.next(now)) {
        switch (step) {
        case Prober::Step::BeginPeriod:
            if (m_prober.beginPeriod(now, m_table.liveNames(), random))
                ping(m_prober.target(), actions);
            break;
        case Prober::Step::Ping:
            ping(m_prober.target(), actions);
            break;
        case Prober::Step::ProbeIndirectly:
            requestIndirectProbes(m_prober.target(), random, actions);
            break;
        case Prober::Step::Failed:
            markSuspected(now, m_prober.target(), actions);
            break;
        case Prober::Step::Wait:
            break;
        }
    }
}

void Membership::ping(const HostName& name, MembershipActions& actions)
{
    const auto* const record = m_table.find(name);
    if (!record)
        return;
    auto datagram = makeDatagram(GossipKind::Ping);
    datagram.sequence = m_prober.sequence();
    datagram.subject = name;
    send(record->host.gossip, name, datagram, actions);
}

void Membership::requestIndirectProbes(const HostName& name, RandomEngine& random, MembershipActions& actions)
{
    const auto* const record = m_table.find(name);
    if (!record)
        return;
    auto datagram = makeDatagram(GossipKind::PingRequest);
    datagram.sequence = m_prober.sequence();
    datagram.subject = name;
    datagram.subjectAddress = record->host.gossip;
    for (const auto& helper : randomLiveHosts(m_settings.indirectProbes, name, random))
        send(helper.host.gossip, helper.host.name, datagram, actions);
}

void Membership::markSuspected(Instant now, const HostName& name, MembershipActions& actions)
{
    const auto* const known = m_table.find(name);
    if (!known || known->health != HostHealth::Alive)
        return;
    ++m_counters.suspicions;
    auto record = *known;
    record.health = HostHealth::Suspect;
    merge(now, record, Source::Gossip, actions);
}

void Membership::sendGossip(Instant now, RandomEngine& random, MembershipActions& actions)
{
    if (now < m_nextGossip || (m_updates.empty() && !m_versionRoundsLeft))
        return;
    m_nextGossip = now + m_settings.gossipInterval;
    m_versionRoundsLeft -= m_versionRoundsLeft ? 1 : 0;
    for (const auto& record : randomLiveHosts(m_settings.gossipFanout, m_self.host.name, random))
        send(record.host.gossip, record.host.name, makeDatagram(GossipKind::Updates), actions);
}

void Membership::exchangeDigest(Instant now, RandomEngine& random, MembershipActions& actions)
{
    if (now < m_nextDigestExchange)
        return;
    m_nextDigestExchange = now + jittered(m_settings.digestInterval, random);
    m_table.forgetDead(now, m_settings.deadRetention);
    for (const auto& record : randomLiveHosts(1, m_self.host.name, random))
        sendDigest(now, record.host.gossip, record.host.name, actions);
}

void Membership::reconnect(Instant now, RandomEngine& random, MembershipActions& actions)
{
    if (now < m_nextReconnect)
        return;
    const bool isAlone = m_table.liveNames().empty();
    m_nextReconnect = now + jittered(isAlone ? m_settings.protocolPeriod : m_settings.reconnectInterval, random);
    std::vector<SocketAddress> chosen;
    const auto addresses = addressesToReconnect();
    std::sample(addresses.begin(), addresses.end(), std::back_inserter(chosen), isAlone ? joinFanout : 1, random);
    for (const auto& address : chosen)
        sendDigest(now, address, {}, actions);
}

std::vector<SocketAddress> Membership::addressesToReconnect() const
{
    std::set<SocketAddress> addresses(m_settings.seeds.begin(), m_settings.seeds.end());
    addresses.insert(m_listedAddresses.begin(), m_listedAddresses.end());
    for (const auto& item : m_table.entries()) {
        if (!item.second.record.isLive())
            addresses.insert(item.second.record.host.gossip);
    }
    for (const auto& item : m_table.entries()) {
        if (item.second.record.isLive())
            addresses.erase(item.second.record.host.gossip);
    }
    addresses.erase(m_self.host.gossip);
    return { addresses.begin(), addresses.end() };
}

void Membership::setHostList(Instant now, const std::vector<ListedHost>& hosts)
{
    compensatePause(now);
    m_listedAddresses.clear();
    for (const auto& host : hosts)
        m_listedAddresses.push_back(host.gossip);
}

void Membership::announceShutdown(Instant now)
{
    compensatePause(now);
    m_self.leaving = true;
    m_updates.add(m_self.host.name);
}

void Membership::setConfigVersion(Instant now, ConfigVersion version)
{
    compensatePause(now);
    m_self.configVersion = std::max(m_self.configVersion, version);
    if (version <= m_highestVersion)
        return;
    m_highestVersion = version;
    m_highestVersionHost = m_self.host.name;
    m_versionRoundsLeft = updateTransmitLimit();
}

void Membership::recordConfigVersion(ConfigVersion version, const HostName& holder, MembershipActions& actions)
{
    if (version <= m_highestVersion)
        return;
    m_highestVersion = version;
    m_highestVersionHost = holder;
    m_versionRoundsLeft = updateTransmitLimit();
    actions.emplace_back(ConfigVersionSeen { version, holder });
}

void Membership::merge(Instant now, const HostRecord& record, Source source, MembershipActions& actions)
{
    if (record.host.name == m_self.host.name) {
        mergeSelf(record);
        return;
    }
    recordConfigVersion(record.configVersion, record.host.name, actions);
    const auto merged = m_table.merge(now, downgradeReportedDeath(record, source));
    if (!merged.hasChanged)
        return;
    const auto* const before = merged.before ? &*merged.before : nullptr;
    const auto& after = *m_table.find(record.host.name);
    trackSuspicion(now, before, after);
    addChanges(before, after, actions);
    // Records of hosts that this host first learned of by a digest exchange need no gossip: other hosts have them.
    if (before || (source == Source::Gossip && after.isLive()))
        m_updates.add(record.host.name);
}

HostRecord Membership::downgradeReportedDeath(HostRecord record, Source source) const
{
    const auto* const known = m_table.find(record.host.name);
    const bool isDeath = known && known->isLive() && !record.isLive();
    if (isDeath && (source == Source::Exchange || known->health != HostHealth::Suspect))
        record.health = HostHealth::Suspect;
    return record;
}

void Membership::mergeSelf(const HostRecord& record)
{
    auto& own = m_self.host.incarnation;
    const bool isSuspectedOrDead = record.host.incarnation == own && record.health != HostHealth::Alive;
    if (record.host.incarnation < own || (record.host.incarnation == own && !isSuspectedOrDead))
        return;
    own = Incarnation(record.host.incarnation.value() + 1);
    ++m_counters.refutations;
    m_updates.add(m_self.host.name);
}

void Membership::trackSuspicion(Instant now, const HostRecord* before, const HostRecord& after)
{
    if (after.health != HostHealth::Suspect) {
        m_suspicionEnds.erase(after.host.name);
        return;
    }
    const bool isKnown
        = before && before->health == HostHealth::Suspect && before->host.incarnation == after.host.incarnation;
    if (!isKnown)
        m_suspicionEnds[after.host.name] = now + m_settings.suspicionTimeout;
}

Expected<MembershipActions> Membership::handleDatagram(Instant now, const SocketAddress& from, std::string_view bytes)
{
    compensatePause(now);
    const auto datagram = readGossip(from, bytes);
    if (!datagram) {
        ++m_counters.datagramsRejected;
        return tl::unexpected<Error>(datagram.error());
    }
    ++m_counters.datagramsReceived;
    MembershipActions actions;
    merge(now, datagram->sender, Source::Gossip, actions);
    if (datagram->sender.host.name == m_self.host.name)
        return actions;
    const bool isExchange = datagram->kind == GossipKind::DigestResponse || datagram->kind == GossipKind::Records;
    for (const auto& record : datagram->records)
        merge(now, record, isExchange ? Source::Exchange : Source::Gossip, actions);
    // The named holder may be a previous process of this host.
    const bool namesSelf = datagram->highestVersionHost == m_self.host.name;
    recordConfigVersion(
        datagram->highestVersion, namesSelf ? datagram->sender.host.name : datagram->highestVersionHost, actions);
    respond(now, from, *datagram, actions);
    return actions;
}

void Membership::respond(
    Instant now, const SocketAddress& from, const GossipDatagram& datagram, MembershipActions& actions)
{
    const auto& sender = datagram.sender.host.name;
    const auto* const known = m_table.find(sender);
    switch (datagram.kind) {
    case GossipKind::Ping:
        if (datagram.subject == m_self.host.name) {
            auto answer = makeDatagram(GossipKind::Ack);
            answer.sequence = datagram.sequence;
            answer.subject = m_self.host.name;
            send(from, sender, answer, actions);
        }
        return;
    case GossipKind::Digest:
    case GossipKind::DigestResponse:
        handleDigest(now, from, datagram, actions);
        return;
    case GossipKind::PingRequest:
        handlePingRequest(now, from, datagram, actions);
        break;
    case GossipKind::Ack:
        handleAck(datagram, actions);
        break;
    case GossipKind::Updates:
    case GossipKind::Records:
        break;
    }
    // A sender recorded as suspect or dead receives its own record (see send()), so that it can refute it.
    if (known && known->health != HostHealth::Alive)
        send(from, sender, makeDatagram(GossipKind::Updates), actions);
}

void Membership::handleAck(const GossipDatagram& datagram, MembershipActions& actions)
{
    if (m_prober.acceptAck(datagram.sequence, datagram.subject))
        return;
    const auto relay = m_prober.takeRelay(datagram.sequence, datagram.subject);
    if (!relay)
        return;
    auto answer = makeDatagram(GossipKind::Ack);
    answer.sequence = relay->requesterSequence;
    answer.subject = datagram.subject;
    send(relay->requester, {}, answer, actions);
}

void Membership::handlePingRequest(
    Instant now, const SocketAddress& from, const GossipDatagram& datagram, MembershipActions& actions)
{
    const auto sequence = m_prober.addRelay(now, { from, datagram.sequence, datagram.subject, {} });
    if (!sequence)
        return;
    auto ping = makeDatagram(GossipKind::Ping);
    ping.sequence = *sequence;
    ping.subject = datagram.subject;
    send(datagram.subjectAddress, datagram.subject, ping, actions);
}

void Membership::handleDigest(
    Instant now, const SocketAddress& from, const GossipDatagram& datagram, MembershipActions& actions)
{
    const auto own = m_table.digest(m_self, now, m_settings.deadRetention);
    if (own == *datagram.digest)
        return;
    const bool isFirst = datagram.kind == GossipKind::Digest;
    auto head = makeDatagram(isFirst ? GossipKind::DigestResponse : GossipKind::Records);
    if (isFirst)
        head.digest = own;
    GossipWriter writer(head, m_settings.datagramLimitBytes);
    for (const auto& record : m_table.differingRecords(m_self, own, *datagram.digest, now, m_settings.deadRetention)) {
        if (writer.add(record))
            continue;
        appendDatagram(from, writer, actions);
        writer = GossipWriter(makeDatagram(GossipKind::Records), m_settings.datagramLimitBytes);
        writer.add(record);
    }
    appendDatagram(from, writer, actions);
}

void Membership::sendDigest(Instant now, const SocketAddress& to, const HostName& toName, MembershipActions& actions)
{
    auto datagram = makeDatagram(GossipKind::Digest);
    datagram.digest = m_table.digest(m_self, now, m_settings.deadRetention);
    send(to, toName, datagram, actions);
}

GossipDatagram Membership::makeDatagram(GossipKind kind) const
{
    GossipDatagram datagram;
    datagram.kind = kind;
    datagram.sender = m_self;
    datagram.highestVersion = m_highestVersion;
    datagram.highestVersionHost = m_highestVersionHost;
    return datagram;
}

void Membership::send(
    const SocketAddress& to, const HostName& toName, const GossipDatagram& head, MembershipActions& actions)
{
    GossipWriter writer(head, m_settings.datagramLimitBytes);
    const auto* const recipient = m_table.find(toName);
    if (recipient && recipient->health != HostHealth::Alive)
        writer.add(*recipient);
    addUpdates(writer, toName);
    appendDatagram(to, writer, actions);
}

void Membership::addUpdates(GossipWriter& writer, const HostName& recipient)
{
    for (const auto& name : m_updates.inTransmitOrder()) {
        if (name == recipient)
            continue;
        // The head of the datagram already contains this host's own record.
        const auto* const record = m_table.find(name);
        if (name != m_self.host.name && record && !writer.add(*record))
            return;
        m_updates.recordTransmission(name, updateTransmitLimit());
    }
}

void Membership::appendDatagram(const SocketAddress& to, const GossipWriter& writer, MembershipActions& actions)
{
    ++m_counters.datagramsSent;
    m_counters.bytesSent += writer.bytes().size();
    actions.emplace_back(SendDatagram { to, writer.bytes() });
}

std::vector<HostRecord> Membership::randomLiveHosts(
    std::size_t count, const HostName& except, RandomEngine& random) const
{
    const auto& live = m_table.liveNames();
    std::vector<HostName> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), count + 1, random);
    std::erase(chosen, except);
    std::shuffle(chosen.begin(), chosen.end(), random);
    chosen.resize(std::min(chosen.size(), count));
    std::vector<HostRecord> records;
    records.reserve(chosen.size());
    for (const auto& name : chosen)
        records.push_back(*m_table.find(name));
    return records;
}

std::size_t Membership::updateTransmitLimit() const
{
    const auto hosts = static_cast<double>(m_table.liveNames().size() + 1);
    return m_settings.updateTransmitFactor * static_cast<std::size_t>(std::ceil(std::log10(hosts + 1)));
}

const HostRecord* Membership::find(const HostName& name) const
{
    return name == m_self.host.name ? &m_self : m_table.find(name);
}

std::vector<HostRecord> Membership::liveHosts() const
{
    std::vector<HostRecord> live { m_self };
    for (const auto& item : m_table.entries()) {
        if (item.second.record.isLive())
            live.push_back(item.second.record);
    }
    std::sort(live.begin(), live.end(),
        [](const HostRecord& left, const HostRecord& right) { return left.host.name < right.host.name; });
    return live;
}

std::vector<HostRecord> Membership::records() const
{
    std::vector<HostRecord> records;
    records.reserve(m_table.entries().size());
    for (const auto& item : m_table.entries())
        records.push_back(item.second.record);
    return records;
}

std::string Membership::dump() const
{
    const auto line = [](const HostRecord& record) {
        return record.host.name.value() + " " + std::string(toString(record.state())) + " incarnation "
            + std::to_string(record.host.incarnation.value()) + " gossip " + record.host.gossip.toString()
            + " document " + std::to_string(record.configVersion.value()) + "\n";
    };
    std::string text = "self " + line(m_self);
    for (const auto& item : m_table.entries())
        text += line(item.second.record);
    text += "datagrams sent " + std::to_string(m_counters.datagramsSent) + " bytes "
        + std::to_string(m_counters.bytesSent) + " taken " + std::to_string(m_counters.datagramsReceived) + " refused "
        + std::to_string(m_counters.datagramsRejected) + " suspicions " + std::to_string(m_counters.suspicions)
        + " refutations " + std::to_string(m_counters.refutations) + " pauses " + std::to_string(m_counters.pauses)
        + "\n";
    return text;
}

} // namespace Auburnpost::Member
