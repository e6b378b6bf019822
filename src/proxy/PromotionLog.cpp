#include "proxy/PromotionLog.h"

#include <algorithm>

namespace Auburnpost::Proxy::PromotionLog {

namespace {

    constexpr std::string_view unknown = "-";

    std::string describeMember(Instant now, const GroupWatcher::Member& member)
    {
        auto text = member.record.name.value();
        if (member.status) {
            text += member.status->isPrimary ? "/primary/" : "/replica/";
            text += describe(member.status->received) + "/" + age(now, member.queriedAt) + "ms";
            if (member.status->isFenced())
                text += "/fence" + std::to_string(member.status->fencedTerm.value());
        } else {
            text += "/unknown";
        }
        if (member.record.isLeaving)
            text += "/leaving";
        if (!member.isListed())
            text += "/unlisted";
        if (member.health.isSuspect(now))
            text += "/suspect";
        return text;
    }

    std::string join(const std::vector<std::string>& texts)
    {
        std::string joined;
        for (std::size_t index = 0; index < texts.size() && index < maxMembers; ++index)
            joined += (index == 0 ? "" : ",") + texts[index];
        if (texts.size() > maxMembers)
            joined += ",+" + std::to_string(texts.size() - maxMembers);
        return joined.empty() ? std::string(unknown) : joined;
    }

} // namespace

std::string describe(const LogPoint& point)
{
    return std::to_string(point.term.value()) + "." + std::to_string(point.position.value());
}

std::string age(Instant now, Instant moment)
{
    return std::to_string(toMilliseconds(now - moment));
}

std::string describeSource(const TableOrigin& origin)
{
    if (origin.peer)
        return origin.peer->toString();
    return std::string(origin.confirmedAt ? "store" : unknown);
}

std::string describeMembers(Instant now, const GroupWatcher& watcher)
{
    std::vector<std::string> texts;
    for (const auto& [name, member] : watcher.members())
        texts.push_back(describeMember(now, member));
    return join(texts);
}

std::string describeDepartures(Instant now, const GroupWatcher& watcher)
{
    std::vector<std::string> texts;
    for (const auto& departure : watcher.history().departures(now)) {
        const auto end = departure.status ? describe(departure.status->received) : std::string(unknown);
        texts.push_back(departure.name.value() + "/" + std::string(toString(departure.kind)) + "/" + end + "/"
            + age(now, departure.at) + "ms");
    }
    return join(texts);
}

std::string describeLease(Instant now, const std::optional<LeaseReading>& reading)
{
    if (!reading || !reading->row.lease)
        return std::string(unknown);
    const auto& lease = *reading->row.lease;
    const auto left = lease.expiresAtMs > reading->row.storeNowMs ? lease.expiresAtMs - reading->row.storeNowMs : 0;
    auto text = lease.holder.value() + "/" + std::to_string(reading->row.version.value()) + "/" + std::to_string(left)
        + "ms/" + age(now, reading->at) + "ms";
    if (lease.pending)
        text += "/pending/" + lease.pending->candidate.value() + "/"
            + std::to_string(lease.pending->replacedTerm.value());
    return text;
}

std::size_t countFencedAbove(const GroupWatcher& watcher, Term term)
{
    const auto& members = watcher.members();
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
        [term](const auto& entry) { return entry.second.status && entry.second.status->fencedTerm > term; }));
}

void appendEvidence(std::vector<LogField>& fields, Instant now, const GroupWatcher& watcher, std::size_t fenced)
{
    const auto& primaryLog = watcher.history().primaryLog();
    const auto& origin = watcher.listOrigin();
    fields.insert(fields.end(),
        { { "counted", std::to_string(watcher.groupSize()) }, { "needed", std::to_string(watcher.fencesNeeded()) },
            { "fenced", std::to_string(fenced) }, { "members", describeMembers(now, watcher) },
            { "departed", describeDepartures(now, watcher) },
            { "primary_end", primaryLog ? describe(primaryLog->end) : std::string(unknown) },
            { "primary_end_age_ms", primaryLog ? age(now, primaryLog->knownAt) : std::string(unknown) },
            { "list_from", describeSource(origin) },
            { "list_age_ms", origin.confirmedAt ? age(now, *origin.confirmedAt) : std::string(unknown) },
            { "list_as_of", std::to_string(origin.asOf.value()) } });
}

} // namespace Auburnpost::Proxy::PromotionLog
