#pragma once

#include "base/Time.h"
#include "group/FakeTarget.h"

#include <map>
#include <optional>

namespace Auburnpost::Group {

/// Checks every outcome against the logs of the fake targets.
class OutcomeChecker {
public:
    struct Acknowledgement {
        LogPoint point;
        Instant at;
    };

    void recordPromotion(Term, const TargetName&);
    void checkOpened(Instant now, Term, const FakeTarget&);
    void recordAcknowledged(Instant now, std::uint64_t key, const LogPoint&);
    void recordAbsent(std::uint64_t key) { m_absent[key] = true; }
    /// Checks a confirmed read: the primary's log has to hold every write acknowledged before it.
    void checkConfirmed(const LogPoint& acknowledgedBefore, const LogPoint& primaryEnd);
    /// Checks a stated age: a log that ends at @p end has to hold every write acknowledged before @p now minus @p age.
    void checkAge(Instant now, Duration age, const LogPoint& end);
    void checkFinal(const FakeTarget* primary);
    void fail(const std::string& text)
    {
        if (m_violation.empty())
            m_violation = text;
    }

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t acknowledgements() const { return m_acknowledged.size(); }
    [[nodiscard]] std::size_t absences() const { return m_absent.size(); }
    [[nodiscard]] std::size_t confirmations() const { return m_confirmations; }
    [[nodiscard]] std::size_t ages() const { return m_ages; }
    [[nodiscard]] const LogPoint& highestAcknowledged() const { return m_highest; }
    [[nodiscard]] std::optional<Instant> lastAcknowledgedAt() const { return m_lastAt; }
    [[nodiscard]] const std::map<Term, TargetName>& promotions() const { return m_promoted; }

private:
    void checkLog(const FakeTarget&, const std::string& when);

    std::string m_violation;
    std::map<Term, TargetName> m_promoted;
    std::map<Term, Instant> m_opened;
    std::map<std::uint64_t, Acknowledgement> m_acknowledged;
    /// Acknowledgements in order of time, each with the highest point acknowledged until then.
    std::vector<Acknowledgement> m_timeline;
    std::map<std::uint64_t, bool> m_absent;
    LogPoint m_highest;
    std::optional<Instant> m_lastAt;
    std::size_t m_confirmations { 0 };
    std::size_t m_ages { 0 };
};

} // namespace Auburnpost::Group
