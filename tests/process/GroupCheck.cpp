#include "process/GroupCheck.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace Auburnpost::Test {

const char* nameOf(GroupViolation::Kind kind)
{
    constexpr const char* names[] { "stale", "lost", "twice", "token" };
    return names[static_cast<std::size_t>(kind)];
}

GroupCheck::GroupCheck(const GroupHistory& history)
    : m_history(history)
{
    for (const auto& statement : history.statements)
        m_statements.emplace(statement.id, &statement);
    const auto lastContents = history.log.contents(history.lastLog);
    m_kept.resize(history.log.size());
    for (LogEntryIndex index = 1; index < m_kept.size(); ++index)
        m_kept[index] = lastContents[index] ? index : m_kept[history.log.entry(index).previous];
    collectAcknowledgements();
    collectRequirements();
    checkRuns();
    checkPromotions();
    checkRepeatedWrites();
    checkTokens();
}

std::size_t GroupCheck::count(GroupViolation::Kind kind) const
{
    return static_cast<std::size_t>(std::count_if(m_violations.begin(), m_violations.end(),
        [kind](const GroupViolation& violation) { return violation.kind == kind; }));
}

void GroupCheck::collectAcknowledgements()
{
    // A statement that was tried again has more than one entry; the caller was told of one that was kept, if any was.
    std::unordered_map<std::string, LogEntryIndex> entries;
    for (LogEntryIndex index = 1; index < m_history.log.size(); ++index) {
        const auto [found, isFirst] = entries.emplace(m_history.log.entry(index).statement, index);
        if (!isFirst && m_kept[found->second] != found->second)
            found->second = index;
    }
    for (const auto& statement : m_history.statements) {
        const auto entry = entries.find(statement.id);
        if (statement.commits && statement.succeeded && entry != entries.end())
            m_acknowledged.push_back({ entry->second, &statement });
    }
    std::sort(m_acknowledged.begin(), m_acknowledged.end(), [](const Acknowledged& left, const Acknowledged& right) {
        return left.statement->endedAt < right.statement->endedAt;
    });
}

void GroupCheck::require(Requirements& requirements, Moment since, const Acknowledged& acknowledged) const
{
    // Entries of one log have ascending indices.
    if (requirements.empty() || requirements.back().newest.entry < acknowledged.entry)
        requirements.push_back({ since, acknowledged });
}

void GroupCheck::collectRequirements()
{
    for (const auto& acknowledged : m_acknowledged) {
        if (m_kept[acknowledged.entry] != acknowledged.entry)
            continue;
        const auto& statement = *acknowledged.statement;
        require(m_ofAll, statement.endedAt, acknowledged);
        require(m_ofSession[statement.session], statement.endedAt, acknowledged);
    }
}

const GroupCheck::Acknowledged* GroupCheck::newestBefore(const Requirements& requirements, Moment moment) const
{
    const auto after = std::lower_bound(requirements.begin(), requirements.end(), moment,
        [](const Requirement& requirement, Moment bound) { return requirement.since < bound; });
    return after == requirements.begin() ? nullptr : &std::prev(after)->newest;
}

void GroupCheck::checkRuns()
{
    for (const auto& run : m_history.runs) {
        const auto statement = m_statements.find(run.id);
        if (statement == m_statements.end())
            continue;
        ++m_checkedRuns;
        checkRun(run, *statement->second);
    }
}

void GroupCheck::checkRun(const MemberRun& run, const CallerStatement& statement)
{
    auto staleness = std::chrono::milliseconds(0);
    if (!statement.needsPrimary && statement.route == RouteKind::ReadYourWrites)
        staleness = m_history.readYourWritesStaleness;
    if (!statement.needsPrimary && statement.route == RouteKind::BoundedStaleness)
        staleness = m_history.boundedStaleness;
    const auto* missing = newestBefore(m_ofAll, statement.firstByteAt - staleness);
    const auto isMissing = [&](const Acknowledged* required) { return required && m_kept[run.log] < required->entry; };
    if (!isMissing(missing) && statement.route == RouteKind::ReadYourWrites) {
        const auto ofSession = m_ofSession.find(statement.session);
        missing = ofSession == m_ofSession.end() ? nullptr : newestBefore(ofSession->second, statement.firstByteAt);
    }
    if (!isMissing(missing))
        return;
    constexpr const char* routes[] { "primary", "read_your_writes", "bounded_staleness" };
    const auto age
        = std::chrono::duration_cast<std::chrono::milliseconds>(statement.firstByteAt - missing->statement->endedAt);
    m_violations.push_back({ GroupViolation::Kind::Stale, run.at,
        statement.id + " \"" + statement.text + "\" of host-" + std::to_string(statement.host + 1) + " on route "
            + routes[static_cast<std::size_t>(statement.route)] + (statement.needsPrimary ? ", for the primary," : "")
            + (statement.succeeded ? " answered," : " not answered,") + " runs at " + run.member
            + (run.isPrimary ? " (primary)" : " (replica)") + " on log " + m_history.log.position(run.log).toString()
            + ", which lacks " + m_history.log.position(missing->entry).toString() + " (" + missing->statement->id
            + ") acknowledged " + std::to_string(age.count()) + " ms before its first byte" });
}

void GroupCheck::checkPromotions()
{
    std::vector<bool> isReported(m_history.log.size());
    const auto check = [&](LogEntryIndex log, std::uint64_t term, const std::string& where, Moment at) {
        const auto contents = m_history.log.contents(log);
        for (const auto& [entry, statement] : m_acknowledged) {
            if (m_history.log.position(entry).term >= term || contents[entry] || isReported[entry])
                continue;
            isReported[entry] = true;
            m_violations.push_back({ GroupViolation::Kind::Lost, at,
                "commit " + m_history.log.position(entry).toString() + " (" + statement->id + " of host-"
                    + std::to_string(statement->host + 1) + ") is not in the log " + where + ", which ends with "
                    + m_history.log.position(log).toString() });
        }
    };
    for (const auto& promotion : m_history.promotions)
        check(promotion.log, promotion.term,
            "of " + promotion.member + " promoted to term " + std::to_string(promotion.term), promotion.at);
    const auto end = m_history.runs.empty() ? Moment() : m_history.runs.back().at;
    check(m_history.lastLog, static_cast<std::uint64_t>(-1), "of the last primary", end);
}

void GroupCheck::checkRepeatedWrites()
{
    std::unordered_map<std::string, LogEntryIndex> writes;
    for (LogEntryIndex index = 1; index < m_history.log.size(); ++index) {
        if (m_kept[index] != index)
            continue;
        for (const auto& write : m_history.log.entry(index).writes) {
            const auto [first, isNew] = writes.emplace(write, index);
            if (!isNew)
                m_violations.push_back({ GroupViolation::Kind::Twice, {},
                    "write " + write + " is in " + m_history.log.position(first->second).toString() + " and in "
                        + m_history.log.position(index).toString() });
        }
    }
}

void GroupCheck::checkTokens()
{
    std::map<std::string, const PromotionOrder*> tokens;
    for (const auto& order : m_history.orders) {
        const auto [first, isNew] = tokens.emplace(order.token, &order);
        // A call that got no answer may be repeated.
        if (isNew || (first->second->holder == order.holder && first->second->member == order.member))
            continue;
        m_violations.push_back({ GroupViolation::Kind::Token, order.at,
            "token " + order.token + " promotes " + first->second->member + " for " + first->second->holder + " and "
                + order.member + " for " + order.holder });
    }
}

} // namespace Auburnpost::Test
