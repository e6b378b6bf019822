#include "group/OutcomeChecker.h"

#include <algorithm>
#include <set>

namespace Auburnpost::Group {

void OutcomeChecker::recordPromotion(Term term, const TargetName& target)
{
    if (m_promoted.try_emplace(term, target).first->second != target)
        fail("two targets promoted in term " + std::to_string(term.value()));
}

void OutcomeChecker::checkOpened(Instant now, Term term, const FakeTarget& primary)
{
    m_opened.try_emplace(term, now);
    // A restarted watcher can find a replaced term open; the log of that term's primary may end in writes that were
    // lost.
    const auto isNewest = m_opened.rbegin()->first == term;
    if (isNewest && primary.end().term == term)
        checkLog(primary, "when term " + std::to_string(term.value()) + " opened");
}

void OutcomeChecker::recordAcknowledged(Instant now, std::uint64_t key, const LogPoint& point)
{
    if (m_absent.contains(key))
        fail("key " + std::to_string(key) + " acknowledged after it was answered absent");
    m_acknowledged[key] = { point, now };
    m_highest = std::max(m_highest, point);
    m_timeline.push_back({ m_highest, now });
    m_lastAt = now;
}

void OutcomeChecker::checkConfirmed(const LogPoint& acknowledgedBefore, const LogPoint& primaryEnd)
{
    ++m_confirmations;
    if (primaryEnd < acknowledgedBefore)
        fail("a confirmed read misses a write acknowledged before it");
}

void OutcomeChecker::checkAge(Instant now, Duration age, const LogPoint& end)
{
    ++m_ages;
    const auto later = std::upper_bound(m_timeline.begin(), m_timeline.end(), now - age,
        [](Instant moment, const Acknowledgement& each) { return moment <= each.at; });
    if (later != m_timeline.begin() && std::prev(later)->point > end)
        fail("a stated age is too low");
}

void OutcomeChecker::checkLog(const FakeTarget& primary, const std::string& when)
{
    std::set<std::uint64_t> written;
    for (const auto& entry : primary.log()) {
        if (entry.kind != EntryKind::Write)
            continue;
        if (!written.insert(entry.key).second)
            fail("key " + std::to_string(entry.key) + " written twice, seen " + when);
        if (m_absent.contains(entry.key))
            fail("key " + std::to_string(entry.key) + " answered absent but written, seen " + when);
    }
    for (const auto& [key, acknowledgement] : m_acknowledged) {
        if (acknowledgement.point.term <= primary.end().term && !written.contains(key))
            fail("acknowledged key " + std::to_string(key) + " is lost, seen " + when);
    }
}

void OutcomeChecker::checkFinal(const FakeTarget* primary)
{
    if (!primary) {
        fail("no open primary at the end");
        return;
    }
    checkLog(*primary, "at the end");
}

} // namespace Auburnpost::Group
