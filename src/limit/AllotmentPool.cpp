#include "limit/AllotmentPool.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Auburnpost::Limit {

namespace {

    /// Time after its last request for which the number of a host's last request is kept.
    constexpr Duration clientRetention = std::chrono::seconds(60);

    /// Part of the capacity that is granted in advance; the rest is for hosts whose demand grows.
    constexpr double grantedPart = 0.85;

} // namespace

AllotmentPool::AllotmentPool(Instant now, AllotmentRules rules, AllotmentTimes times)
    : m_rules(rules)
    , m_times(times)
    , m_advancedAt(now)
{
}

void AllotmentPool::setLimits(Instant now, const std::map<AllotmentId, AllotmentLimit>& limits)
{
    advance(now);
    createAll();
    std::erase_if(m_accounts, [&limits](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [id, limit] : limits) {
        const auto [entry, isNew] = m_accounts.try_emplace(id);
        entry->second.limit = limit;
        if (isNew)
            entry->second.createdUpTo = m_shareSeconds;
    }
    createAll();
}

void AllotmentPool::setOwnShare(Instant now, double share)
{
    if (share == m_ownShare)
        return;
    advance(now);
    createAll();
    m_ownShare = share;
    recountShare();
    createAll();
}

bool AllotmentPool::acceptRequest(Instant now, const AllotmentRequest& request)
{
    auto& client = m_clients[{ request.host, request.hostStart }];
    if (request.number <= client.lastRequest)
        return false;
    if (client.number == ClientNumber {})
        client.number = m_lastClient = ClientNumber(m_lastClient.value() + 1);
    client.lastRequest = request.number;
    client.lastSeen = now;
    // The stamp was written before the host sent the request, so the lease ends here before it ends there.
    const auto stampedAt = Instant(Duration(static_cast<Duration::rep>(request.echoedStamp.value())));
    if (!request.shareDivisor || !request.echoedStamp.value() || stampedAt > now)
        return true;
    const auto endsAt
        = stampedAt + m_times.leaseLifetime * 999 / 1000 - AllotmentTimes::withDrift(m_times.grantLifetime);
    if (endsAt <= now)
        return true;
    advance(now);
    const auto before = m_share;
    m_leases[request.host] = { 1.0 / request.shareDivisor, endsAt };
    recountShare();
    if (m_share < before)
        createAll();
    return true;
}

AllotmentGrant AllotmentPool::claim(Instant now, const AllotmentRequest& request, const AllotmentClaim& claim)
{
    AllotmentGrant reply { claim.organisation, 0, false };
    const auto found = m_accounts.find(claim.organisation);
    if (found == m_accounts.end())
        return reply;
    advance(now);
    auto& account = found->second;
    auto& grant = account.grants[m_clients[{ request.host, request.hostStart }].number];
    uncount(account, grant);
    // Replies to earlier requests are ignored by the host from now on, so it holds at most what it reports. What it
    // neither holds nor used is available again.
    const std::uint64_t known = now < grant.expiresAt ? grant.permits : 0;
    const auto used = claim.used - std::min(claim.used, grant.used);
    account.available += static_cast<double>(known - std::min(known, used));
    create(account);
    const auto limit = holdingLimit(account, claim.wanted);
    const auto available = static_cast<std::uint64_t>(account.available);
    const auto kept = std::min({ known - std::min(known, used), limit, available });
    const auto need = limit - kept;
    // Where permits are scarce, they are divided by what is requested.
    auto free = available - kept;
    if (need && account.unmet)
        free = std::min(free, std::max<std::uint64_t>(1, free * need / (need + account.unmet)));
    const auto more = std::min(need, free);
    reply.total = static_cast<std::uint32_t>(kept + more);
    reply.isScarce
        = static_cast<double>(account.claimants + 1) > grantedPart * m_rules.capacity(account.limit) * m_share;
    // The host may use what it holds even if the reply is lost.
    const auto held = std::min(known - std::min(known, used), std::uint64_t { claim.held });
    grant = { static_cast<std::uint32_t>(std::max<std::uint64_t>(reply.total, held)), claim.used, claim.wanted,
        static_cast<std::uint32_t>(need - more), now + AllotmentTimes::withDrift(m_times.grantLifetime) };
    count(account, grant);
    account.available = std::max(0.0, account.available - grant.permits);
    return reply;
}

std::uint64_t AllotmentPool::holdingLimit(const Account& account, std::uint32_t wanted) const
{
    const auto grantable = grantedPart * m_rules.capacity(account.limit) * m_share;
    const auto all = static_cast<double>(account.wanted + wanted);
    if (!wanted || all <= grantable)
        return wanted;
    return std::min<std::uint64_t>(
        wanted, std::max<std::uint64_t>(1, static_cast<std::uint64_t>(grantable * wanted / all)));
}

bool AllotmentPool::use(Instant now, AllotmentId id)
{
    const auto found = m_accounts.find(id);
    if (found == m_accounts.end())
        return false;
    advance(now);
    create(found->second);
    if (found->second.available < 1)
        return false;
    found->second.available -= 1;
    return true;
}

void AllotmentPool::expire(Instant now)
{
    advance(now);
    for (auto& [id, account] : m_accounts) {
        std::erase_if(account.grants, [now, &account = account](const auto& entry) {
            const bool isExpired = entry.second.expiresAt <= now;
            if (isExpired)
                uncount(account, entry.second);
            return isExpired;
        });
    }
    createAll();
    std::erase_if(m_clients, [now](const auto& entry) { return now - entry.second.lastSeen > clientRetention; });
}

bool AllotmentPool::hasGrants() const
{
    return std::any_of(
        m_accounts.begin(), m_accounts.end(), [](const auto& entry) { return entry.second.granted > 0; });
}

double AllotmentPool::available(AllotmentId id) const
{
    const auto found = m_accounts.find(id);
    return found == m_accounts.end() ? 0 : found->second.available;
}

void AllotmentPool::advance(Instant now)
{
    const auto elapsed = std::chrono::duration<double>(std::max(Duration {}, now - m_advancedAt)).count();
    m_advancedAt = std::max(m_advancedAt, now);
    const bool hasEnded = now >= m_nextLeaseEnd;
    if (hasEnded) {
        std::erase_if(m_leases, [now](const auto& entry) { return entry.second.endsAt <= now; });
        recountShare();
    }
    // A lease that ended since the last call yields nothing for that time.
    m_shareSeconds += m_share * elapsed;
    // The permits of an ended lease are removed at once, as a share that is lent again starts without any.
    if (hasEnded)
        createAll();
}

void AllotmentPool::recountShare()
{
    m_share = m_ownShare;
    m_nextLeaseEnd = Instant::max();
    for (const auto& [host, lease] : m_leases) {
        m_share += lease.share;
        m_nextLeaseEnd = std::min(m_nextLeaseEnd, lease.endsAt);
    }
    m_share = std::min(1.0, m_share);
}

void AllotmentPool::create(Account& account) const
{
    account.available += m_rules.creationRate(account.limit) * (m_shareSeconds - account.createdUpTo);
    account.createdUpTo = m_shareSeconds;
    const auto room = m_rules.capacity(account.limit) * m_share - static_cast<double>(account.granted);
    account.available = std::clamp(account.available, 0.0, std::max(0.0, room));
}

void AllotmentPool::createAll()
{
    for (auto& [id, account] : m_accounts)
        create(account);
}

void AllotmentPool::count(Account& account, const Grant& grant)
{
    account.granted += grant.permits;
    account.wanted += grant.wanted;
    account.unmet += grant.unmet;
    account.claimants += grant.wanted ? 1 : 0;
}

void AllotmentPool::uncount(Account& account, const Grant& grant)
{
    account.granted -= grant.permits;
    account.wanted -= grant.wanted;
    account.unmet -= grant.unmet;
    account.claimants -= grant.wanted ? 1 : 0;
}

} // namespace Auburnpost::Limit
