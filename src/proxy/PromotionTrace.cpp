#include "proxy/PromotionTrace.h"

#include "proxy/PromotionLog.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    double milliseconds(Duration duration)
    {
        return static_cast<double>(toMilliseconds(duration));
    }

    /// @return the highest term that a member has joined.
    Term highestJoinedTerm(const GroupWatcher& watcher)
    {
        auto highest = watcher.primaryTerm();
        for (const auto& [name, member] : watcher.members()) {
            if (member.status)
                highest = std::max(highest, member.status->term);
        }
        return highest;
    }

    /// @return why the member's fence is gone; empty while it holds.
    std::string_view whyGone(const GroupWatcher::Member* member)
    {
        if (!member)
            return "unlisted";
        if (!member->status)
            return "restarted";
        return member->status->isFenced() ? "" : "removed";
    }

    std::string describeFences(const PromotionTrace::Call& call)
    {
        std::string text;
        for (const auto& [name, fence] : call.fences) {
            text += (text.empty() ? "" : ",") + name.value();
            if (fence.goneAt)
                text += (fence.isGoneBeforeEffect ? "/gone/" : "/cleared/")
                    + PromotionLog::age(*fence.goneAt, call.calledAt) + "ms";
            else
                text += "/held";
        }
        return text.empty() ? "-" : text;
    }

} // namespace

PromotionTrace::PromotionTrace(GroupName group, PromotionObserver& observer)
    : m_group(std::move(group))
    , m_observer(observer)
{
}

void PromotionTrace::recordCall(Instant now, const GroupWatcher& watcher, const TargetName& candidate, RowVersion token,
    const std::set<TargetName>& fenced)
{
    Call call { candidate, token, now, m_suspectedAt, highestJoinedTerm(watcher), {}, watcher.history().primaryLog(),
        {}, {} };
    if (const auto* const member = watcher.find(candidate); member && member->status)
        call.end = member->status->received;
    for (const auto& name : fenced)
        call.fences[name] = {};
    if (m_calls.size() >= maxCalls)
        m_calls.erase(m_calls.begin());
    m_calls.push_back(std::move(call));
    if (const auto& confirmedAt = watcher.listOrigin().confirmedAt)
        m_observer.measure("promotion_target_list_age_ms", milliseconds(now - *confirmedAt));
}

void PromotionTrace::recordRefusal(RowVersion token)
{
    std::erase_if(m_calls, [token](const Call& call) { return call.token == token; });
}

void PromotionTrace::recordAbandonment(Instant now, bool mayTakeEffect)
{
    m_observer.measure("promotion_abandoned_ms", milliseconds(now - m_suspectedAt));
    if (mayTakeEffect && !m_calls.empty() && !m_calls.back().abandonedAt)
        m_calls.back().abandonedAt = now;
}

void PromotionTrace::observe(Instant now, const GroupWatcher& watcher)
{
    std::erase_if(m_calls, [now](const Call& call) { return now - call.calledAt >= retention; });
    for (auto& call : m_calls)
        observeFences(now, watcher, call);
    // Of several calls for one target the last one counts.
    const auto effective = std::find_if(m_calls.rbegin(), m_calls.rend(), [&watcher](const Call& call) {
        const auto* const member = watcher.find(call.candidate);
        return member && member->status && member->status->isPrimary && member->status->term > call.replacedTerm;
    });
    if (effective == m_calls.rend())
        return;
    reportEffect(now, *effective);
    m_calls.erase(m_calls.begin(), effective.base());
}

void PromotionTrace::observeFences(Instant now, const GroupWatcher& watcher, Call& call)
{
    // From the effect on, the members follow the new primary without a fence.
    if (highestJoinedTerm(watcher) > call.replacedTerm)
        return;
    if (const auto& log = watcher.history().primaryLog(); log && log->term <= call.replacedTerm)
        call.replacedLog = log;
    const auto* const candidate = watcher.find(call.candidate);
    for (auto& [name, fence] : call.fences) {
        const auto* const member = watcher.find(name);
        const bool isGone = !whyGone(member).empty();
        if (isGone && !fence.goneAt)
            fence.goneAt = now;
        if (!fence.goneAt || fence.isGoneBeforeEffect)
            continue;
        const bool isQueriedLater = candidate && candidate->status && candidate->queriedAt >= *fence.goneAt;
        if (!isQueriedLater)
            continue;
        fence.isGoneBeforeEffect = true;
        reportLostFence(*fence.goneAt, call, name, member);
    }
}

void PromotionTrace::reportLostFence(
    Instant goneAt, const Call& call, const TargetName& name, const GroupWatcher::Member* member)
{
    const auto* const status = member && member->status ? &*member->status : nullptr;
    const auto why = whyGone(member);
    m_observer.log({ LogEvent::PromotionFenceLost,
        { { "group", m_group.value() }, { "target", name.value() }, { "token", std::to_string(call.token.value()) },
            { "candidate", call.candidate.value() }, { "why", std::string(why.empty() ? "renewed" : why) },
            { "call_ms", PromotionLog::age(goneAt, call.calledAt) },
            { "received", status ? PromotionLog::describe(status->received) : "-" },
            { "given_up", call.abandonedAt ? "yes" : "no" } } });
}

void PromotionTrace::reportEffect(Instant now, const Call& call)
{
    const auto gone = std::count_if(
        call.fences.begin(), call.fences.end(), [](const auto& entry) { return entry.second.isGoneBeforeEffect; });
    m_observer.measure("promotion_call_to_effect_ms", milliseconds(now - call.calledAt));
    m_observer.measure("promotion_suspicion_to_effect_ms", milliseconds(now - call.suspectedAt));
    m_observer.measure("promotion_fences_lost", static_cast<double>(gone));
    const auto& replaced = call.replacedLog;
    std::vector<LogField> fields { { "group", m_group.value() }, { "target", call.candidate.value() },
        { "token", std::to_string(call.token.value()) }, { "call_ms", PromotionLog::age(now, call.calledAt) },
        { "suspected_ms", PromotionLog::age(now, call.suspectedAt) }, { "received", PromotionLog::describe(call.end) },
        { "replaced", replaced ? replaced->name.value() : "-" },
        { "replaced_end", replaced ? PromotionLog::describe(replaced->end) : "-" },
        { "replaced_end_age_ms", replaced ? PromotionLog::age(now, replaced->knownAt) : "-" },
        { "fences", describeFences(call) }, { "fences_gone", std::to_string(gone) } };
    if (call.abandonedAt)
        fields.push_back({ "given_up_ms", PromotionLog::age(now, *call.abandonedAt) });
    m_observer.log(
        { call.abandonedAt ? LogEvent::PromotionEffectLate : LogEvent::PromotionEffectSeen, std::move(fields) });
}

} // namespace Auburnpost::Proxy
