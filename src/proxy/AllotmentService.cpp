#include "proxy/AllotmentService.h"

#include "limit/AllotmentCodec.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Proxy {

AllotmentService::AllotmentService(Instant now, const HostName& self, const Limit::AllotmentRules& rules,
    Limit::HostStart start, ProxyDelegate& delegate)
    : m_delegate(delegate)
    , m_self(self)
    , m_allotments(now, self, rules, start)
    , m_measuredAt(now)
{
}

void AllotmentService::setOrganisations(Instant now, const Organisations& organisations)
{
    std::map<OrganisationName, Limit::AllotmentLimit> limits;
    for (const auto& [name, rules] : organisations.rules()) {
        if (rules.allotment)
            limits.emplace(name, *rules.allotment);
    }
    m_allotments.setLimits(now, limits);
}

void AllotmentService::setHosts(Instant now, const std::vector<HostEntry>& hosts)
{
    std::vector<Limit::AllotmentHost> participants;
    participants.reserve(hosts.size());
    for (const auto& host : hosts)
        participants.push_back({ host.name, host.dataCentre, host.relay, host.processorShare });
    m_allotments.setHosts(now, participants);
}

Session::Failure AllotmentService::refuse(Instant now, const OrganisationName& name, Duration retryAfter)
{
    auto [refusals, isFirst] = m_refusals.try_emplace(name);
    ++refusals->second.unlogged;
    if (isFirst)
        logRefusals(now, name, refusals->second);
    return { Session::FailureCode::Busy,
        "over the organisation's rate limit; retry after " + std::to_string(toMilliseconds(retryAfter)) + " ms" };
}

void AllotmentService::logRefusals(Instant now, const OrganisationName& name, Refusals& refusals)
{
    m_delegate.log({ LogEvent::RateLimitExceeded,
        { { "organisation", name.value() }, { "refused", std::to_string(refusals.unlogged) },
            { "coordinator", m_allotments.coordinator().value() } } });
    m_delegate.measure("rate_limit_refused", static_cast<double>(refusals.unlogged));
    refusals = { 0, now };
}

void AllotmentService::tick(Instant now)
{
    if (!isEnabled())
        return;
    send(m_allotments.tick(now));
    for (auto entry = m_refusals.begin(); entry != m_refusals.end();) {
        auto& [name, refusals] = *entry;
        const bool isDue = now - refusals.loggedAt >= logInterval;
        const bool isOver = isDue && !refusals.unlogged;
        if (isDue && refusals.unlogged)
            logRefusals(now, name, refusals);
        entry = isOver ? m_refusals.erase(entry) : std::next(entry);
    }
    if (now - m_measuredAt < measureInterval)
        return;
    m_measuredAt = now;
    m_delegate.measure("rate_limit_share", m_allotments.share());
    m_delegate.measure("rate_limit_datagrams_per_second", static_cast<double>(std::exchange(m_sentDatagrams, 0)));
    m_delegate.measure("rate_limit_bytes_per_second", static_cast<double>(std::exchange(m_sentBytes, 0)));
}

void AllotmentService::datagramReceived(Instant now, const SocketAddress& from, std::string_view datagram)
{
    const auto body = Limit::decodeAllotment(datagram);
    if (body) {
        send(m_allotments.messageReceived(now, from, *body));
        return;
    }
    ++m_rejectedDatagrams;
    if (m_rejectionLoggedAt && now - *m_rejectionLoggedAt < logInterval)
        return;
    m_rejectionLoggedAt = now;
    m_delegate.log({ LogEvent::PeerMessageRejected,
        { { "peer", from.toString() }, { "reason", body.error().describe() },
            { "rejected", std::to_string(std::exchange(m_rejectedDatagrams, 0)) } } });
}

void AllotmentService::send(const std::vector<Limit::AllotmentMessage>& messages)
{
    for (const auto& message : messages) {
        const auto datagram = Limit::encode(message.body);
        ++m_sentDatagrams;
        m_sentBytes += datagram.size();
        m_delegate.sendDatagram(message.to, datagram);
    }
}

nlohmann::json AllotmentService::describe(Instant now) const
{
    auto organisations = nlohmann::json::object();
    for (const auto& status : m_allotments.statuses(now))
        organisations[status.name.value()] = { { "asked", status.counts.asked }, { "admitted", status.counts.admitted },
            { "refused", status.counts.refused }, { "held", status.held }, { "available", status.available } };
    return { { "coordinator", m_allotments.coordinator().value() }, { "share", m_allotments.share() },
        { "lenders", m_allotments.lenders() }, { "hosts", m_allotments.hosts() },
        { "organisations", std::move(organisations) } };
}

} // namespace Auburnpost::Proxy
