#include "load/FailoverProbe.h"

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    /// Time that a connection stays open beyond the time limit that the host was given.
    constexpr Duration responseMargin = std::chrono::seconds(1);

    const RequestKind& probeRequestKind()
    {
        static const RequestKind kind { "probe_write", Access::KeyedWrite, 1, std::nullopt, false };
        return kind;
    }

} // namespace

FailoverProbe::FailoverProbe(Standin::EventLoop& loop, Settings settings, RandomEngine& random)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_random(random)
    , m_client(loop.base(), m_settings.requestTimeout + responseMargin)
{
}

void FailoverProbe::start()
{
    m_running = true;
    m_nextWrite = Standin::EventLoop::now();
    sendDueWrites();
}

std::uint64_t FailoverProbe::count(Outcome outcome) const
{
    const auto found = m_counts.find(outcome);
    return found == m_counts.end() ? 0 : found->second;
}

void FailoverProbe::sendDueWrites()
{
    if (!m_running)
        return;
    const auto now = Standin::EventLoop::now();
    for (; m_nextWrite <= now; m_nextWrite += m_settings.interval)
        send();
    m_loop.runAfter(m_nextWrite - now, [this] { sendDueWrites(); });
}

void FailoverProbe::send()
{
    std::uniform_int_distribution<std::size_t> draw(0, m_settings.hosts.size() - 1);
    const auto& host = m_settings.hosts[draw(m_random)];
    Operation operation { &probeRequestKind(), &m_settings.organisation, "", {} };
    auto& event = operation.event;
    event.session = SessionNumber(++m_lastWrite);
    event.kind = probeRequestKind().name;
    event.isWrite = true;
    event.database = m_settings.database;
    event.fact = Fact(m_settings.run + "-" + std::to_string(m_lastWrite));
    event.key = "key-" + event.fact.value();
    event.host = host.name;
    event.invoked = Standin::EventLoop::now();
    m_client.send(makeRequest(operation, host, m_settings.requestTimeout),
        [this, event](const HttpAnswer& answer) { onReply(event, CallerReply::read(answer, event)); });
}

void FailoverProbe::onReply(HistoryEvent event, const CallerReply& reply)
{
    event.completed = Standin::EventLoop::now();
    event.outcome = reply.outcome;
    event.status = reply.status;
    event.code = reply.code;
    event.servedBy = reply.servedBy;
    ++m_counts[event.outcome];
    if (event.outcome == Outcome::Done)
        recordAcknowledgement(event);
    if (m_sink)
        m_sink(event);
}

void FailoverProbe::recordAcknowledgement(const HistoryEvent& event)
{
    if (m_faultBegin && m_lastAcknowledged)
        m_longestSilence = std::max(m_longestSilence, event.completed - *m_lastAcknowledged);
    m_lastAcknowledged = event.completed;
    if (m_faultBegin && !m_firstAcknowledged && event.invoked > *m_faultBegin)
        m_firstAcknowledged = event.completed;
}

} // namespace Auburnpost::Load
