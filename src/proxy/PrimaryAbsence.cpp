#include "proxy/PrimaryAbsence.h"

#include "proxy/PromotionLog.h"

#include <map>
#include <string>

namespace Auburnpost::Proxy {

namespace {

    /// @return why the member can't be fenced; empty if it is fenced or answers.
    std::string_view obstacleOf(Instant now, const GroupWatcher::Member& member)
    {
        if (member.presumedEndedAt)
            return "ended";
        if (member.status && member.status->isFenced())
            return {};
        if (!member.health.lastResponseAt())
            return "unknown";
        return member.health.isSuspect(now) ? "silent" : std::string_view();
    }

} // namespace

std::string_view toString(AwaitedStep step)
{
    constexpr std::string_view texts[] { "detection", "members", "lease", "store", "handover", "fences", "verification",
        "effect", "doubt" };
    return texts[static_cast<std::size_t>(step)];
}

bool PrimaryAbsence::observe(Instant now, const GroupWatcher& watcher)
{
    const auto& primary = watcher.primary();
    const bool isUsable = primary && watcher.guard().allows(*primary) && !watcher.find(*primary)->health.isSuspect(now);
    if (isUsable || watcher.members().empty()) {
        m_since.reset();
        m_reportedAt.reset();
        return false;
    }
    if (!m_since)
        m_since = now;
    const auto reportDueAt = m_reportedAt ? *m_reportedAt + reportInterval : *m_since + reportAfter;
    if (now < reportDueAt)
        return false;
    m_reportedAt = now;
    return true;
}

AwaitedStep PrimaryAbsence::awaitedStep(const GroupWatcher& watcher, const Promotion& promotion)
{
    static const std::map<std::string_view, AwaitedStep> steps { { "Delaying", AwaitedStep::Lease },
        { "Reading", AwaitedStep::Store }, { "Writing", AwaitedStep::Store }, { "Recording", AwaitedStep::Store },
        { "Demoting", AwaitedStep::Handover }, { "Fencing", AwaitedStep::Fences },
        { "Verifying", AwaitedStep::Verification }, { "Calling", AwaitedStep::Effect },
        { "Awaiting", AwaitedStep::Effect } };
    if (watcher.membership().listedCount() == 0)
        return AwaitedStep::Members;
    if (promotion.isReplacing()) {
        const auto step = steps.find(promotion.state());
        if (step != steps.end())
            return step->second;
    }
    return watcher.guard().doubt() == PrimaryDoubt::None ? AwaitedStep::Detection : AwaitedStep::Doubt;
}

std::string PrimaryAbsence::describeMissing(Instant now, const GroupWatcher& watcher)
{
    std::string text;
    for (const auto& [name, member] : watcher.members()) {
        const auto obstacle = obstacleOf(now, member);
        if (obstacle.empty())
            continue;
        const auto end = member.status ? PromotionLog::describe(member.status->received) : std::string("-");
        text += (text.empty() ? "" : ",") + name.value() + "/" + end + "/" + std::string(obstacle);
    }
    return text.empty() ? "-" : text;
}

std::vector<LogField> PrimaryAbsence::describe(
    Instant now, const GroupWatcher& watcher, const Promotion& promotion) const
{
    std::vector<LogField> fields { { "ms", std::to_string(toMilliseconds(length(now))) },
        { "awaited", std::string(toString(awaitedStep(watcher, promotion))) },
        { "missing", describeMissing(now, watcher) } };
    PromotionLog::appendEvidence(fields, now, watcher, PromotionLog::countFencedAbove(watcher, watcher.primaryTerm()));
    return fields;
}

} // namespace Auburnpost::Proxy
