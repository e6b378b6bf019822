#include "limit/Allotments.h"

#include "limit/AllotmentCodec.h"
#include "member/RendezvousScore.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Auburnpost::Limit {

namespace {

    /// Time over which demand is averaged.
    constexpr double rateTime = 1.5;
    /// Seconds of demand that a stock covers: one interval of requests, one repeated request, and the reply.
    constexpr double coveredTime = 1.2;
    /// Standard deviations of the demand in this time that a stock covers in addition.
    constexpr double coveredDeviations = 1.5;
    /// Time after the last operation for which one permit is kept, and the same where there are fewer permits than
    /// hosts that want one.
    constexpr Duration idleTime = std::chrono::seconds(120);
    constexpr Duration scarceIdleTime = std::chrono::seconds(2);
    constexpr std::uint32_t maxWanted = 100'000;
    /// Part of a stock at which a new request is sent before the interval has passed.
    constexpr std::uint32_t urgentPart = 4;
    constexpr std::uint32_t maxHosts = 100'000;
    constexpr double permille = 1000;
    constexpr double minRetrySeconds = 0.1;
    constexpr double maxRetrySeconds = 2;

    double secondsOf(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    Duration durationOf(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

} // namespace

Allotments::Allotments(Instant now, HostName self, AllotmentRules rules, HostStart start, AllotmentTimes times)
    : m_self(std::move(self))
    , m_start(start)
    , m_times(times)
    , m_pool(now, rules, times)
    , m_peers(m_self, times)
    , m_coordinator(m_self)
    , m_ownsShareFrom(now + AllotmentTimes::withDrift(times.leaseLifetime))
    , m_isListedFrom(now + times.listingDelay)
{
}

void Allotments::setLimits(Instant now, const std::map<OrganisationName, AllotmentLimit>& limits)
{
    std::erase_if(m_organisations, [&limits](const auto& entry) { return !limits.contains(entry.first); });
    m_names.clear();
    std::map<AllotmentId, AllotmentLimit> numbered;
    for (const auto& [name, limit] : limits) {
        // Two names with the same hash get different numbers, the same ones on all hosts with this configuration.
        auto id = AllotmentId(static_cast<std::uint32_t>(Member::rendezvousHash(name.value(), 0)));
        while (m_names.contains(id))
            id = AllotmentId(id.value() + 1);
        m_names.emplace(id, name);
        auto& organisation = m_organisations[name];
        if (organisation.id != id) {
            organisation.stock = {};
            organisation.formerStock = {};
        }
        organisation.id = id;
        organisation.limit = limit;
        numbered.emplace(id, limit);
    }
    m_pool.setLimits(now, numbered);
}

void Allotments::setHosts(Instant now, const std::vector<AllotmentHost>& hosts)
{
    m_peers.setHosts(hosts);
    updateHostCount(now, static_cast<std::uint32_t>(hosts.size()));
}

void Allotments::updateHostCount(Instant now, std::uint32_t listed)
{
    if (now - m_reportedAt > m_times.shrinkDelay)
        m_reportedHosts = 0;
    const auto known = std::max(listed, m_reportedHosts);
    if (known >= m_hosts)
        m_hostsSeenAt = now;
    if (known >= m_hosts || now - m_hostsSeenAt > m_times.shrinkDelay)
        m_hosts = known;
}

void Allotments::noteReportedHosts(Instant now, std::uint32_t reported)
{
    m_isListingConfirmed = m_isListingConfirmed || reported >= m_peers.listed();
    if (reported < m_reportedHosts || reported > maxHosts)
        return;
    m_reportedHosts = reported;
    m_reportedAt = now;
}

void Allotments::decayRates(Instant now, Organisation& organisation) const
{
    const auto factor = std::exp(-secondsOf(now - organisation.rateAt) / rateTime);
    organisation.rate *= factor;
    organisation.refusedRate *= factor;
    organisation.rateAt = now;
}

std::uint32_t Allotments::wanted(Instant now, const Organisation& organisation) const
{
    const auto idle = organisation.isScarce ? scarceIdleTime : idleTime;
    if (!organisation.lastAskedAt || now - *organisation.lastAskedAt > idle)
        return 0;
    const auto rate = organisation.rate * std::exp(-secondsOf(now - organisation.rateAt) / rateTime);
    const auto needed = 1 + std::ceil(coveredTime * rate + coveredDeviations * std::sqrt(rate));
    return static_cast<std::uint32_t>(std::min(needed, static_cast<double>(maxWanted)));
}

void Allotments::expect(Instant now, const OrganisationName& name)
{
    const auto found = m_organisations.find(name);
    if (found == m_organisations.end() || m_coordinator == m_self)
        return;
    auto& organisation = found->second;
    const bool isIdle = !wanted(now, organisation);
    organisation.lastAskedAt = now;
    if (isIdle && !organisation.stock.usable(now))
        organisation.isUrgent = true;
}

AllotmentDecision Allotments::admit(Instant now, const OrganisationName& name)
{
    const auto found = m_organisations.find(name);
    if (found == m_organisations.end())
        return {};
    auto& organisation = found->second;
    decayRates(now, organisation);
    organisation.rate += 1 / rateTime;
    organisation.lastAskedAt = now;
    ++organisation.counts.asked;
    const bool isAdmitted = usePermit(now, organisation);
    if (organisation.stock.usable(now) <= wanted(now, organisation) / urgentPart)
        organisation.isUrgent = true;
    if (isAdmitted) {
        ++organisation.counts.admitted;
        return {};
    }
    ++organisation.counts.refused;
    organisation.refusedRate += 1 / rateTime;
    return { false, retryDelay(organisation) };
}

bool Allotments::admitWaiting(Instant now, const OrganisationName& name)
{
    const auto found = m_organisations.find(name);
    if (found == m_organisations.end())
        return true;
    auto& organisation = found->second;
    if (!usePermit(now, organisation)) {
        organisation.isUrgent = true;
        return false;
    }
    ++organisation.counts.admitted;
    --organisation.counts.refused;
    return true;
}

bool Allotments::usePermit(Instant now, Organisation& organisation)
{
    for (auto* const stock : { &organisation.formerStock, &organisation.stock }) {
        if (!stock->usable(now))
            continue;
        --stock->permits;
        ++organisation.used;
        return true;
    }
    return m_pool.use(now, organisation.id);
}

Duration Allotments::retryDelay(const Organisation& organisation) const
{
    // The refused operations come back beside the new ones; at the present rate of admissions this takes so long.
    const auto admitted = std::max(0.0, organisation.rate - organisation.refusedRate);
    const auto seconds = organisation.refusedRate * rateTime / std::max(1.0, admitted);
    return durationOf(std::clamp(seconds, minRetrySeconds, maxRetrySeconds));
}

bool Allotments::ownsShare(Instant now) const
{
    const bool isListed = m_isListingConfirmed || now >= m_isListedFrom;
    return m_hosts && isListed && now >= m_ownsShareFrom && (!m_loan || now >= m_loan->until);
}

void Allotments::updateCoordinator(Instant now)
{
    m_peers.choose(m_pool.share());
    const auto* const chosen = m_peers.coordinator();
    const auto& name = chosen ? chosen->host.name : m_self;
    const auto start = chosen ? chosen->start : m_start;
    if (name != m_coordinator || start != m_coordinatorStart) {
        m_coordinator = name;
        m_coordinatorStart = start;
        m_isAwaitingReply = false;
        m_unanswered = 0;
        m_claimedAllAt = {};
        replaceStocks();
    }
    // The own share is spent or granted here only while this host is its own coordinator; before it is lent, nothing
    // that was granted from it may be in use.
    const bool isHeld = !chosen && ownsShare(now);
    const bool wasHeld = m_pool.ownShare() > 0;
    m_pool.setOwnShare(now, isHeld ? 1.0 / m_hosts : 0);
    if (wasHeld && !isHeld)
        m_lendAfter = m_pool.hasGrants() ? now + AllotmentTimes::withDrift(m_times.grantLifetime) : now;
}

void Allotments::replaceStocks()
{
    for (auto& [name, organisation] : m_organisations) {
        organisation.formerStock = organisation.stock;
        organisation.stock = {};
        organisation.isRequested = false;
        organisation.isCounted = false;
        organisation.urgentAfter = {};
    }
}

bool Allotments::hasUrgent(Instant now) const
{
    return std::any_of(m_organisations.begin(), m_organisations.end(),
        [now](const auto& entry) { return entry.second.isUrgent && now >= entry.second.urgentAfter; });
}

std::vector<AllotmentMessage> Allotments::tick(Instant now)
{
    if (!isEnabled())
        return {};
    std::vector<AllotmentMessage> messages;
    updateHostCount(now, static_cast<std::uint32_t>(m_peers.listed()));
    m_pool.expire(now);
    updateCoordinator(now);
    requestFromCoordinator(now, messages);
    for (auto* const peer : m_peers.peersToProbe(now)) {
        AllotmentRequest probe;
        probe.host = m_self;
        probe.hostStart = m_start;
        m_lastNumber = RequestNumber(m_lastNumber.value() + 1);
        probe.number = peer->probe = m_lastNumber;
        probe.listedHosts = static_cast<std::uint32_t>(m_peers.listed());
        messages.push_back({ peer->host.address, std::move(probe) });
    }
    return messages;
}

void Allotments::requestFromCoordinator(Instant now, std::vector<AllotmentMessage>& messages)
{
    auto* const coordinator = m_peers.coordinator();
    if (!coordinator)
        return;
    bool isUrgentOnly = false;
    if (m_isAwaitingReply) {
        if (now - m_sentAt < m_times.replyTimeout)
            return;
        if (++m_unanswered >= m_times.maxUnanswered) {
            m_peers.recordSilence(*coordinator);
            updateCoordinator(now);
            return;
        }
    } else if (now - m_claimedAllAt < m_times.requestInterval) {
        if (!hasUrgent(now))
            return;
        isUrgentOnly = true;
    }
    auto request = makeRequest(now, *coordinator);
    request.claims = makeClaims(now, isUrgentOnly);
    m_isAwaitingReply = true;
    m_awaited = request.number;
    m_sentAt = now;
    if (!isUrgentOnly)
        m_claimedAllAt = now;
    messages.push_back({ coordinator->host.address, std::move(request) });
}

AllotmentRequest Allotments::makeRequest(Instant now, const AllotmentPeers::Peer& coordinator)
{
    AllotmentRequest request;
    request.host = m_self;
    request.hostStart = m_start;
    m_lastNumber = RequestNumber(m_lastNumber.value() + 1);
    request.number = m_lastNumber;
    request.coordinatorStart = coordinator.start;
    request.echoedStamp = coordinator.stamp;
    request.listedHosts = static_cast<std::uint32_t>(m_peers.listed());
    const bool isRenewal
        = m_loan && now < m_loan->until && m_loan->to == coordinator.host.name && m_loan->start == coordinator.start;
    if (isRenewal || (ownsShare(now) && now >= m_lendAfter)) {
        m_loan = Loan { coordinator.host.name, coordinator.start, now + m_times.leaseLifetime };
        request.shareDivisor = m_hosts;
    }
    return request;
}

std::vector<AllotmentClaim> Allotments::makeClaims(Instant now, bool isUrgentOnly)
{
    std::vector<AllotmentClaim> claims;
    for (auto& [name, organisation] : m_organisations)
        organisation.isRequested = false;
    // More organisations than one request holds are claimed in turn.
    auto start = m_names.upper_bound(m_continueAfter);
    for (std::size_t count = 0; count < m_names.size() && claims.size() < maxAllotmentEntries; ++count, ++start) {
        if (start == m_names.end())
            start = m_names.begin();
        auto& organisation = m_organisations.at(start->second);
        if (isUrgentOnly && !(organisation.isUrgent && now >= organisation.urgentAfter))
            continue;
        const auto wantedNow = wanted(now, organisation);
        // Permits above the demand are returned: they are not used after they were reported as not held.
        organisation.stock.permits = std::min(organisation.stock.usable(now), wantedNow);
        if (!wantedNow && !organisation.isCounted)
            continue;
        organisation.isRequested = true;
        organisation.usedAtRequest = organisation.used;
        claims.push_back({ organisation.id, organisation.stock.permits, organisation.used, wantedNow });
        m_continueAfter = organisation.id;
    }
    return claims;
}

std::vector<AllotmentMessage> Allotments::messageReceived(
    Instant now, const SocketAddress& from, const AllotmentBody& body)
{
    if (!isEnabled())
        return {};
    if (const auto* const request = std::get_if<AllotmentRequest>(&body))
        return { { from, answer(now, *request) } };
    handleReply(now, from, std::get<AllotmentReply>(body));
    return {};
}

AllotmentReply Allotments::answer(Instant now, const AllotmentRequest& request)
{
    noteReportedHosts(now, request.listedHosts);
    AllotmentReply reply { m_start, request.hostStart, request.number,
        ClockStamp(static_cast<std::uint64_t>(now.time_since_epoch().count())),
        std::max(static_cast<std::uint32_t>(m_peers.listed()), m_reportedHosts),
        static_cast<std::uint32_t>(permille * m_pool.share()), AllotmentPeers::hashOf(m_coordinator), {} };
    // A request for an earlier start of this host reports permits that this one knows nothing of.
    if (request.coordinatorStart != m_start || !m_pool.acceptRequest(now, request))
        return reply;
    for (const auto& claim : request.claims)
        reply.grants.push_back(m_pool.claim(now, request, claim));
    return reply;
}

void Allotments::handleReply(Instant now, const SocketAddress& from, const AllotmentReply& reply)
{
    auto* const peer = m_peers.find(from);
    if (!peer || reply.hostStart != m_start)
        return;
    noteReportedHosts(now, reply.listedHosts);
    m_peers.recordReply(reply, *peer);
    const bool isAwaited = m_isAwaitingReply && peer == m_peers.coordinator() && reply.number == m_awaited;
    if (!isAwaited)
        return;
    m_isAwaitingReply = false;
    m_unanswered = 0;
    peer->stamp = reply.stamp;
    if (peer->start != reply.coordinatorStart) {
        // The coordinator was restarted; what the earlier start granted or was lent expires by itself.
        peer->start = reply.coordinatorStart;
        updateCoordinator(now);
        return;
    }
    for (const auto& grant : reply.grants)
        handleGrant(now, grant);
}

void Allotments::handleGrant(Instant now, const AllotmentGrant& grant)
{
    const auto name = m_names.find(grant.organisation);
    if (name == m_names.end())
        return;
    auto& organisation = m_organisations.at(name->second);
    if (!std::exchange(organisation.isRequested, false))
        return;
    const auto usedSince = organisation.used - organisation.usedAtRequest;
    organisation.stock.permits
        = grant.total - static_cast<std::uint32_t>(std::min<std::uint64_t>(grant.total, usedSince));
    organisation.stock.expiresAt = m_sentAt + m_times.grantLifetime;
    organisation.isCounted = grant.total > 0;
    organisation.isScarce = grant.isScarce;
    organisation.isUrgent
        = organisation.stock.permits <= wanted(now, organisation) / urgentPart && wanted(now, organisation) > 0;
    organisation.urgentAfter = now + (organisation.isUrgent ? m_times.shortInterval : m_times.urgentInterval);
}

std::vector<Allotments::Status> Allotments::statuses(Instant now) const
{
    std::vector<Status> statuses;
    for (const auto& [name, organisation] : m_organisations)
        statuses.push_back({ name, organisation.counts,
            organisation.stock.usable(now) + organisation.formerStock.usable(now), m_pool.available(organisation.id) });
    return statuses;
}

} // namespace Auburnpost::Limit
