// The state of a host as JSON.
#include "engine/EngineState.h"

#include <nlohmann/json.hpp>

namespace Auburnpost {

namespace {

    using Json = nlohmann::json;

    Json pointJson(const LogPoint& point)
    {
        return { { "term", point.term.value() }, { "position", point.position.value() } };
    }

    Json memberJson(const Group::MemberView& view)
    {
        Json json { { "target", view.member.target.value() }, { "data_centre", view.member.dataCentre.value() },
            { "reachable", view.reachable }, { "leaving", view.leaving } };
        if (view.lastStatus) {
            json["end"] = pointJson(view.lastStatus->end);
            json["fenced_term"] = view.lastStatus->fencedTerm.value();
            json["role"] = toString(view.lastStatus->role);
        }
        return json;
    }

    Json groupJson(const Group::GroupDump& dump)
    {
        Json json { { "takeover", dump.failoverState }, { "suspicion", dump.suspicion },
            { "durable", pointJson(dump.durablePoint) }, { "waits", dump.durabilityWaits },
            { "confirmations", dump.confirmationWaits }, { "commands_in_flight", dump.commandsInFlight },
            { "age_samples", dump.ageSamples }, { "attempts", dump.attempts }, { "promotions", dump.promotions } };
        if (dump.primary) {
            json["primary"] = { { "target", dump.primary->target.value() }, { "term", dump.primary->term.value() },
                { "open", dump.primary->open }, { "suspected", dump.primary->suspected } };
        }
        for (const auto& watcher : dump.watchers)
            json["watchers"].push_back(watcher.value());
        for (const auto& view : dump.members)
            json["members"].push_back(memberJson(view));
        return json;
    }

    Json poolJson(const TargetPool& pool)
    {
        const auto& budget = pool.budget();
        return { { "share", budget.share() }, { "opening", budget.opening() }, { "idle", budget.idle() },
            { "busy", budget.busy() }, { "pinned", budget.pinned() }, { "waiting", pool.waiting() },
            { "granted", pool.granted() }, { "leaving", pool.isLeaving() } };
    }

    Json homeJson(Instant now, const DatabaseHome& home)
    {
        Json json { { "operations", home.operations() }, { "held_for_primary", home.heldForPrimary() },
            { "holding_writes", home.isHoldingWrites() }, { "group", groupJson(home.groupDump(now)) } };
        for (const auto& [target, pool] : home.pools())
            json["pools"][target.value()] = poolJson(pool);
        return json;
    }

    Json countersJson(const RequestCounters& counters)
    {
        return { { "requests", counters.requests }, { "attempts", counters.attempts }, { "retries", counters.retries },
            { "done", counters.done }, { "not_run", counters.notRun }, { "unknown", counters.unknown },
            { "reads_by_replica", counters.readsByReplica }, { "reads_by_primary", counters.readsByPrimary } };
    }

    Json hostJson(const Member::HostRecord& record)
    {
        return { { "name", record.host.name.value() }, { "data_centre", record.host.dataCentre.value() },
            { "incarnation", record.host.incarnation.value() }, { "state", Member::toString(record.state()) },
            { "config_version", record.configVersion.value() } };
    }

} // namespace

std::string EngineState::dump(Instant now) const
{
    Json json { { "host", m_settings.host.name.value() }, { "data_centre", m_settings.host.dataCentre.value() },
        { "incarnation", m_incarnation.value() }, { "ready", isReady() }, { "stopping", m_shutdown.isStopping() },
        { "platform_lost", m_config.isPlatformUnavailable() }, { "config_version", m_config.version().value() },
        { "requests_in_flight", m_coordinator.inFlight() }, { "requests", countersJson(m_coordinator.counters()) },
        { "databases", Json::object() } };
    for (const auto& record : m_membership.records())
        json["hosts"].push_back(hostJson(record));
    for (const auto& [database, homes] : m_homeNames) {
        auto& names = json["homes"][database.value()];
        for (const auto& home : homes)
            names.push_back(home.value());
    }
    for (const auto& [database, entry] : m_homes)
        json["databases"][database.value()] = homeJson(now, *entry.home);
    return json.dump(2);
}

} // namespace Auburnpost
