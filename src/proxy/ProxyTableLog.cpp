#include "proxy/CallFailure.h"
#include "proxy/Proxy.h"

namespace Auburnpost::Proxy {

Proxy::CallsBefore Proxy::callsBefore(StoreTable table, StoreCallSlot slot)
{
    const auto& follower = this->follower(table);
    const auto other = slot == StoreCallSlot::First ? StoreCallSlot::Second : StoreCallSlot::First;
    return { follower.calls(), follower.call(slot), follower.call(other) };
}

void Proxy::logStoreCall(Instant now, StoreTable table, const CallsBefore& before, const std::optional<Error>& failure)
{
    if (failure) {
        logFailedCall(now, table, before.ended, before.history, *failure);
        return;
    }
    auto history = before.history;
    if (before.other.isInProgress && before.other.sentAt < before.ended.sentAt) {
        logFailedCall(now, table, before.other, history,
            { ErrorCode::PlatformUnavailable, "follow table",
                before.other.feeder ? before.other.feeder->toString() : "store",
                "no answer before that of a later call" });
        history.isConnected = false;
        history.failingSince = history.failingSince.value_or(now);
        ++history.failures;
    }
    if (history.isConnected)
        return;
    log({ LogEvent::PlatformRecovered,
        { { "table", std::string(toString(table)) },
            { "waited_ms", std::to_string(toMilliseconds(now - before.ended.sentAt)) },
            { "failures", std::to_string(history.failures) },
            { "failing_ms",
                std::to_string(history.failingSince ? toMilliseconds(now - *history.failingSince) : 0) } } });
}

void Proxy::logFailedCall(Instant now, StoreTable table, const StoreFollower::Call& call,
    const StoreFollower::CallHistory& history, const Error& failure)
{
    const auto waited = std::to_string(toMilliseconds(now - call.sentAt));
    std::vector<LogField> fields { { "table", std::string(toString(table)) },
        { "failure", std::string(toString(callFailureOf(failure))) }, { "waited_ms", waited },
        { "timeout_ms", std::to_string(toMilliseconds(call.timeout)) },
        { "failures", std::to_string(history.failures + 1) }, { "reason", failure.describe() } };
    if (call.feeder) {
        fields.insert(fields.begin(), { "feeder", call.feeder->toString() });
        log({ LogEvent::FeederFailed, std::move(fields) });
        return;
    }
    m_delegate.measure("store_call_failed_ms", static_cast<double>(toMilliseconds(now - call.sentAt)));
    log({ history.failingSince ? LogEvent::PlatformCallFailed : LogEvent::PlatformOutage, std::move(fields) });
}

std::optional<Duration> Proxy::copyAge(Instant now, StoreTable table) const
{
    const auto confirmedAt = m_followers[static_cast<std::size_t>(table)].origin().confirmedAt;
    return confirmedAt ? std::optional(now - *confirmedAt) : std::nullopt;
}

std::optional<Duration> Proxy::versionAge(Instant now) const
{
    return m_versionAgreedAt ? std::optional(now - *m_versionAgreedAt) : std::nullopt;
}

void Proxy::reportCopyAge(Instant now, StoreTable table)
{
    const auto& follower = this->follower(table);
    // The copy of a host whose poll waits for a change may be as old as the longest wait, but never as the bound.
    const auto limit = follower.isBehind(now) ? follower.limit() / 2 : follower.limit();
    const auto age = m_copyAges[static_cast<std::size_t>(table)].observe(now, follower.origin().confirmedAt, limit);
    if (!age)
        return;
    log({ LogEvent::TableCopyOld,
        { { "table", std::string(toString(table)) }, { "age_ms", std::to_string(toMilliseconds(*age)) },
            { "bound_ms", std::to_string(toMilliseconds(follower.limit())) },
            { "failures", std::to_string(follower.calls().failures) } } });
}

void Proxy::logTargetChanges(const TargetDirectory::Changes& changes)
{
    const auto asOf = toString(follower(StoreTable::Targets).state().asOf);
    for (const auto& record : changes.listed)
        log({ record.isLeaving ? LogEvent::TargetLeaving : LogEvent::TargetListed,
            { { "group", record.group.value() }, { "target", record.name.value() },
                { "address", record.address.toString() }, { "data_centre", record.dataCentre.value() },
                { "primary", record.reportsPrimary ? "yes" : "no" },
                { "incarnation", std::to_string(record.incarnation.value()) }, { "as_of", asOf } } });
    for (const auto& record : changes.removed)
        log({ LogEvent::TargetRemoved,
            { { "group", record.group.value() }, { "target", record.name.value() },
                { "leaving", record.isLeaving ? "yes" : "no" }, { "as_of", asOf } } });
}

} // namespace Auburnpost::Proxy
