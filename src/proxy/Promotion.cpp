#include "proxy/Promotion.h"

#include "chart/EmbeddedCharts.h"

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    std::uint64_t milliseconds(Duration duration)
    {
        return static_cast<std::uint64_t>(toMilliseconds(duration));
    }

} // namespace

Promotion::Runner Promotion::makeRunner()
{
    Runner::Bindings bindings;
    bindings.guards = { { "reasonGone", &Promotion::reasonGone }, { "delayPassed", &Promotion::delayPassed },
        { "claimLate", &Promotion::claimLate }, { "repairsOnly", &Promotion::repairsOnly },
        { "superseded", &Promotion::superseded }, { "claimEnds", &Promotion::claimEnds },
        { "renewalDue", &Promotion::renewalDue }, { "enoughFenced", &Promotion::enoughFenced },
        { "retryDue", &Promotion::retryDue }, { "fencesHold", &Promotion::fencesHold },
        { "promotedSeen", &Promotion::promotedSeen }, { "awaitLimitPassed", &Promotion::awaitLimitPassed },
        { "allJoined", &Promotion::allJoined }, { "finishLimitPassed", &Promotion::finishLimitPassed } };
    bindings.actions = { { "waitForHolder", &Promotion::waitForHolder }, { "delayRetry", &Promotion::delayRetry },
        { "readClaim", &Promotion::readClaim }, { "writeClaim", &Promotion::writeClaim },
        { "fenceMembers", &Promotion::fenceMembers }, { "askFenced", &Promotion::askFenced },
        { "callPromotion", &Promotion::callPromotion }, { "demoteFormer", &Promotion::demoteFormer },
        { "fenceAgain", &Promotion::fenceAgain }, { "joinMembers", &Promotion::joinMembers },
        { "renewForRepairs", &Promotion::renewForRepairs }, { "giveUp", &Promotion::giveUp } };
    const auto chart = Chart::StateChart::parse("promotion", Chart::embeddedChart("promotion"));
    AUBURNPOST_INVARIANT(chart, "promotion.scxml can't be read");
    auto runner = Runner::bind(*chart, std::move(bindings));
    AUBURNPOST_INVARIANT(runner, "promotion.scxml is not bound");
    return std::move(*runner);
}

Promotion::Promotion(HostName self, GroupName group, PromotionActions& actions)
    : m_self(std::move(self))
    , m_group(std::move(group))
    , m_actions(actions)
    , m_runner(makeRunner())
{
}

void Promotion::fire(std::string_view event, Context& context)
{
    const auto before = m_runner.state();
    m_runner.fire(event, *this, context);
    if (m_runner.state() != before)
        m_stepSince = context.now;
}

void Promotion::start(
    Instant now, const GroupWatcher& watcher, RandomEngine& random, PromotionReason reason, PrimaryTrouble trouble)
{
    if (!isIdle())
        return;
    m_reason = reason;
    m_replacedTerm = watcher.primaryTerm();
    m_finishingSince.reset();
    std::uniform_int_distribution<Duration::rep> spread(0, startSpread.count());
    m_delayUntil = now + Duration(spread(random));
    log(LogEvent::PrimarySuspected,
        { { "trouble", std::string(toString(trouble)) },
            { "primary", watcher.primary() ? watcher.primary()->value() : "-" },
            { "term", std::to_string(watcher.primaryTerm().value()) } });
    Context context { now, watcher, trouble };
    fire("start", context);
}

void Promotion::tick(Instant now, const GroupWatcher& watcher, PrimaryTrouble trouble)
{
    if (isIdle())
        return;
    Context context { now, watcher, trouble };
    noteFenced(context);
    fire("progress", context);
}

void Promotion::noteFenced(const Context& context)
{
    if (fenced(context.watcher).size() < context.watcher.fencesNeeded())
        m_enoughSince.reset();
    else if (!m_enoughSince)
        m_enoughSince = context.now;
}

void Promotion::claimRead(Instant now, const GroupWatcher& watcher, const Expected<ClaimRow>& row)
{
    if (!m_runner.isIn("Reading"))
        return;
    Context context { now, watcher };
    if (!row) {
        fire("claimRefused", context);
        return;
    }
    m_row = *row;
    const bool isHeld = row->claim && row->claim->holder != m_self && row->claim->expiresAtMs > row->storeNowMs;
    fire(isHeld ? "claimHeld" : "claimFree", context);
}

void Promotion::claimWritten(
    Instant now, const GroupWatcher& watcher, const Expected<std::optional<RowVersion>>& version)
{
    if (!m_runner.isIn("Writing"))
        return;
    Context context { now, watcher };
    if (!version || !*version) {
        fire("claimRefused", context);
        return;
    }
    m_token = **version;
    m_term = Term(watcher.highestTerm().value() + 1);
    m_enoughSince.reset();
    m_chosen.reset();
    log(LogEvent::TakeoverStarted,
        { { "token", std::to_string(m_token.value()) }, { "term", std::to_string(m_term.value()) } });
    fire("claimTaken", context);
}

void Promotion::promoteAnswered(Instant now, const GroupWatcher& watcher, PromotionOutcome outcome)
{
    constexpr std::string_view events[] { "accepted", "notRunning", "notDone", "unanswered" };
    Context context { now, watcher };
    log(LogEvent::PromotionAnswered,
        { { "target", m_chosen ? m_chosen->value() : "-" }, { "token", std::to_string(m_token.value()) },
            { "outcome", std::string(events[static_cast<std::size_t>(outcome)]) } });
    fire(events[static_cast<std::size_t>(outcome)], context);
}

bool Promotion::reasonGone(const Context& context) const
{
    if (m_reason == PromotionReason::ResumeMembers)
        return !context.watcher.isFencedSince(context.now, Duration {});
    return context.trouble == PrimaryTrouble::None;
}

bool Promotion::delayPassed(const Context& context) const
{
    return context.now >= m_delayUntil;
}

bool Promotion::claimLate(const Context& context) const
{
    return context.now - m_stepSince >= claimStepLimit;
}

bool Promotion::repairsOnly(const Context&) const
{
    return m_reason == PromotionReason::ResumeMembers;
}

bool Promotion::superseded(const Context& context) const
{
    return context.watcher.primary() && context.watcher.primaryTerm() > m_replacedTerm;
}

bool Promotion::claimEnds(const Context& context) const
{
    const auto usableUntil = m_runner.isIn("Attempt") ? callUntil() : claimUsableUntil();
    return context.now + orderMargin >= usableUntil;
}

bool Promotion::mayResume(const GroupWatcher::Member& member) const
{
    // A fence of a higher term belongs to a later claim, whose holder counts on it.
    return member.standing && member.standing->isFenced() && member.standing->fencedTerm <= m_term;
}

bool Promotion::renewalDue(const Context& context) const
{
    const auto& members = context.watcher.members();
    return claimEnds(context)
        && std::any_of(members.begin(), members.end(), [this](const auto& entry) { return mayResume(entry.second); });
}

std::set<TargetName> Promotion::fenced(const GroupWatcher& watcher) const
{
    std::set<TargetName> names;
    for (const auto& [name, member] : watcher.members()) {
        if (member.standing && !member.standing->isPrimary && member.standing->fencedTerm == m_term)
            names.insert(name);
    }
    return names;
}

bool Promotion::enoughFenced(const Context& context) const
{
    if (!m_enoughSince)
        return false;
    const auto& members = context.watcher.members();
    const auto others = static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
        [&context](const auto& entry) { return entry.first != context.watcher.primary(); }));
    return fenced(context.watcher).size() >= others || context.now - *m_enoughSince >= fenceGrace;
}

bool Promotion::retryDue(const Context& context) const
{
    return context.now - m_orderedAt >= orderRetry;
}

bool Promotion::fencesHold(const Context& context) const
{
    // After a pause of this host everything may look well while another host holds the claim.
    if (claimEnds(context) || superseded(context))
        return false;
    std::size_t holding = 0;
    for (const auto& name : fenced(context.watcher))
        holding += context.watcher.find(name)->askedAt >= m_verifyAskedAt ? 1 : 0;
    return holding >= context.watcher.fencesNeeded() && longestLog(context.watcher);
}

bool Promotion::promotedSeen(const Context& context) const
{
    return context.watcher.primary() && context.watcher.primary() == m_chosen
        && context.watcher.find(*m_chosen)->askedAt >= m_stepSince;
}

bool Promotion::awaitLimitPassed(const Context& context) const
{
    return context.now - m_stepSince >= awaitLimit;
}

bool Promotion::allJoined(const Context& context) const
{
    const auto& members = context.watcher.members();
    return std::all_of(members.begin(), members.end(), [&context](const auto& entry) {
        const auto& standing = entry.second.standing;
        const bool isPrimary = entry.first == context.watcher.primary();
        return isPrimary || (standing && !standing->isPrimary && !standing->isFenced());
    });
}

bool Promotion::finishLimitPassed(const Context& context) const
{
    return m_finishingSince && context.now - *m_finishingSince >= finishLimit;
}

void Promotion::waitForHolder(Context& context)
{
    const auto left = m_row.claim->expiresAtMs - m_row.storeNowMs;
    m_delayUntil = context.now + std::chrono::milliseconds(std::min(left, milliseconds(claimLifetime)));
    log(LogEvent::ClaimHeld,
        { { "holder", m_row.claim->holder.value() }, { "version", std::to_string(m_row.version.value()) },
            { "left_ms", std::to_string(left) } });
}

void Promotion::delayRetry(Context& context)
{
    m_delayUntil = context.now + retryDelay;
}

void Promotion::readClaim(Context& context)
{
    m_claimReadAt = context.now;
    m_actions.readClaim(m_group);
}

void Promotion::writeClaim(Context&)
{
    m_actions.writeClaim(m_group, { m_self, m_row.storeNowMs + milliseconds(claimLifetime) }, m_row.version);
}

void Promotion::fenceMembers(Context& context)
{
    m_orderedAt = context.now;
    for (const auto& [name, member] : context.watcher.members()) {
        const bool isFenced = member.standing && member.standing->fencedTerm == m_term;
        if (name != context.watcher.primary() && !isFenced)
            m_actions.order(name, FenceReplica { m_term }, claimUsableUntil());
    }
}

void Promotion::askFenced(Context& context)
{
    m_orderedAt = context.now;
    m_verifyAskedAt = context.now;
    for (const auto& name : fenced(context.watcher))
        m_actions.order(name, AskStanding {}, claimUsableUntil());
}

std::optional<TargetName> Promotion::longestLog(const GroupWatcher& watcher) const
{
    const GroupWatcher::Member* best = nullptr;
    for (const auto& name : fenced(watcher)) {
        const auto* const member = watcher.find(name);
        if (!best || member->standing->received > best->standing->received
            || (member->standing->received == best->standing->received && best->record.isLeaving))
            best = member;
    }
    if (!best)
        return {};
    return best->record.name;
}

void Promotion::callPromotion(Context& context)
{
    m_chosen = longestLog(context.watcher);
    const auto& standing = *context.watcher.find(*m_chosen)->standing;
    log(LogEvent::PromotionCalled,
        { { "target", m_chosen->value() }, { "token", std::to_string(m_token.value()) },
            { "received",
                std::to_string(standing.received.term.value()) + "."
                    + std::to_string(standing.received.position.value()) },
            { "fenced", std::to_string(fenced(context.watcher).size()) } });
    m_actions.promote(m_group, *m_chosen, m_token, callUntil());
}

void Promotion::demoteFormer(Context& context)
{
    m_orderedAt = context.now;
    for (const auto& [name, member] : context.watcher.members()) {
        const bool leads = member.standing && member.standing->isPrimary && member.standing->term < m_term;
        if (leads && !member.health.isDoubtful(context.now))
            m_actions.order(name, DemotePrimary { m_term }, Instant::max());
    }
}

void Promotion::fenceAgain(Context& context)
{
    for (const auto& [name, member] : context.watcher.members()) {
        const auto& standing = member.standing;
        const bool isChosen = name == m_chosen || name == context.watcher.primary();
        if (!isChosen && standing && !standing->isPrimary && !standing->isFenced() && standing->term < m_term)
            m_actions.order(name, FenceReplica { m_term }, claimUsableUntil());
    }
}

void Promotion::joinMembers(Context& context)
{
    m_orderedAt = context.now;
    if (!m_finishingSince)
        m_finishingSince = context.now;
    // A member that is resumed while the former primary leads could follow that one again and complete its commits.
    bool formerLeads = false;
    for (const auto& [name, member] : context.watcher.members()) {
        const bool leads = member.standing && member.standing->isPrimary && name != context.watcher.primary();
        if (!leads || member.health.isDoubtful(context.now))
            continue;
        formerLeads = true;
        m_actions.order(name, DemotePrimary { context.watcher.primaryTerm() }, Instant::max());
    }
    for (const auto& [name, member] : context.watcher.members()) {
        if (!formerLeads && name != context.watcher.primary() && mayResume(member))
            m_actions.order(name, ResumeReplica {}, claimUsableUntil());
    }
}

void Promotion::giveUp(Context& context)
{
    log(LogEvent::TakeoverGivenUp,
        { { "term", std::to_string(m_term.value()) }, { "fenced", std::to_string(fenced(context.watcher).size()) },
            { "needed", std::to_string(context.watcher.fencesNeeded()) } });
    for (const auto& name : fenced(context.watcher))
        m_actions.order(name, ResumeReplica {}, claimUsableUntil());
    delayRetry(context);
}

void Promotion::renewForRepairs(Context&)
{
    m_reason = PromotionReason::ResumeMembers;
}

void Promotion::log(LogEvent event, std::vector<LogField> fields) const
{
    fields.insert(fields.begin(), { "group", m_group.value() });
    m_actions.log({ event, std::move(fields) });
}

} // namespace Auburnpost::Proxy
