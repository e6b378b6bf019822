#include "proxy/StateDump.h"

#include "proxy/PromotionLog.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Proxy {

namespace {

    using Json = nlohmann::json;

    Json describeMember(Instant now, const GroupWatcher::Member& member, std::size_t connections)
    {
        Json described { { "data_centre", member.record.dataCentre.value() }, { "leaving", member.record.isLeaving },
            { "doubtful", member.health.isSuspect(now) },
            { "round_trip_ms", toMilliseconds(member.health.roundTrip()) }, { "connections", connections },
            { "role", "unknown" }, { "listed", member.isListed() } };
        if (member.unlistedSince) {
            described["unlisted_ms"] = toMilliseconds(now - *member.unlistedSince);
            described["ended"] = member.presumedEndedAt.has_value();
        }
        // Estimates by which reads choose a target.
        const auto& load = member.load;
        described["load"] = { { "service_ms", toMilliseconds(load.serviceTime(now)) },
            { "others", load.othersLoad(now) }, { "failure_rate", load.failureRate(now) },
            { "paused", load.isPaused(now) }, { "share", load.returnShare(now) } };
        if (const auto network = load.networkTime())
            described["load"]["network_ms"] = toMilliseconds(*network);
        // The log end that members which stay have to reach before this one no longer counts.
        if (member.requiredEnd)
            described["awaited_log_end"] = PromotionLog::describe(*member.requiredEnd);
        if (const auto& status = member.status) {
            described["role"] = status->isPrimary ? "primary" : "replica";
            described["term"] = status->term.value();
            described["log_end"] = PromotionLog::describe(status->received);
            described["log_end_age_ms"] = toMilliseconds(now - member.queriedAt);
            described["fence"] = status->fencedTerm.value();
        }
        return described;
    }

    Json describeCalls(Instant now, const PromotionTrace& trace)
    {
        Json calls = Json::array();
        for (const auto& call : trace.calls())
            calls.push_back({ { "candidate", call.candidate.value() }, { "token", call.token.value() },
                { "log_end", PromotionLog::describe(call.end) }, { "call_ms", toMilliseconds(now - call.calledAt) },
                { "given_up", call.abandonedAt.has_value() } });
        return calls;
    }

    /// Describes what this host last read or wrote of the record of members in the store.
    Json describeRecord(const GroupService& group)
    {
        const auto& recorder = group.promotion().recorder();
        Json unlisted = Json::array();
        for (const auto& recorded : recorder.known().value_or(MemberRecord {}).members) {
            const auto* const member = group.watcher().find(recorded.name);
            if (!member || !member->isListed())
                unlisted.push_back(recorded.name.value());
        }
        return { { "number", recorder.version().value() }, { "problem", std::string(toString(recorder.problem())) },
            { "unlisted", std::move(unlisted) } };
    }

} // namespace

Json describeOrigin(Instant now, const TableOrigin& origin)
{
    Json described { { "from", PromotionLog::describeSource(origin) }, { "as_of", origin.asOf.value() } };
    if (origin.confirmedAt)
        described["age_ms"] = toMilliseconds(now - *origin.confirmedAt);
    return described;
}

Json describeGroup(Instant now, const GroupService& group)
{
    const auto& watcher = group.watcher();
    Json members = Json::object();
    for (const auto& [target, member] : watcher.members()) {
        const auto pool = group.pools().find(target);
        const auto connections = pool == group.pools().end() ? 0 : pool->second.connections().size();
        members[target.value()] = describeMember(now, member, connections);
    }
    Json serviceTimes = Json::array();
    for (std::size_t lane = 0; lane < Limit::laneCount; ++lane) {
        const auto age = group.serviceTimes().age(now, lane);
        serviceTimes.push_back({ { "us", group.serviceTimes().estimate(now, lane).count() },
            { "age_ms", age ? Json(toMilliseconds(*age)) : Json() } });
    }
    Json described { { "primary", watcher.primary() ? watcher.primary()->value() : "" },
        { "term", watcher.primaryTerm().value() }, { "waiting", group.waiting() },
        { "dispatch_attempts", group.dispatchAttempts() }, { "service_times", std::move(serviceTimes) },
        { "short_of_connections", group.isShortOfConnections(now) }, { "promotion", group.promotion().state() },
        { "promotion_calls", describeCalls(now, group.promotion().trace()) }, { "members", std::move(members) },
        { "departed", PromotionLog::describeDepartures(now, watcher) }, { "counted", watcher.groupSize() },
        { "fences_needed", watcher.fencesNeeded() }, { "member_record", describeRecord(group) } };
    const auto& guard = watcher.guard();
    if (guard.doubt() != PrimaryDoubt::None)
        described["primary_doubt"] = { { "doubt", std::string(toString(guard.doubt())) },
            { "age_ms", toMilliseconds(now - *guard.reportedAt()) } };
    if (const auto absence = group.primaryAbsence().length(now); absence > Duration {})
        described["primary_absent"] = { { "ms", toMilliseconds(absence) },
            { "awaited", std::string(toString(PrimaryAbsence::awaitedStep(watcher, group.promotion()))) },
            { "missing", PrimaryAbsence::describeMissing(now, watcher) } };
    if (const auto& pending = group.promotion().pending())
        described["pending_promotion"]
            = { { "candidate", pending->candidate.value() }, { "replaced_term", pending->replacedTerm.value() } };
    if (const auto& log = watcher.history().primaryLog()) {
        described["primary_end"] = PromotionLog::describe(log->end);
        described["primary_end_age_ms"] = toMilliseconds(now - log->knownAt);
    }
    return described;
}

} // namespace Auburnpost::Proxy
