#pragma once

#include "base/Time.h"
#include "group/FakeTarget.h"

#include <map>
#include <optional>

namespace Auburnpost::Group {

/// Holds every outcome against the logs of the fake targets.
class OutcomeChecker {
public:
    struct Acknowledgement {
        LogPoint point;
        Instant at;
    };

    void promoted(Term, const TargetName&);
    void opened(Instant now, Term, const FakeTarget&);
    void acknowledged(Instant now, std::uint64_t key, const LogPoint&);
    void answeredAbsent(std::uint64_t key) { m_absent[key] = true; }
    /// Checks a read that was confirmed: the primary's end has to lie behind what was acknowledged before it.
    void confirmed(const LogPoint& acknowledgedBefore, const LogPoint& primaryEnd);
    /// Checks an age: every write acknowledged before it has to lie within the log.
    void aged(Instant now, Duration age, const LogPoint& end);
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
    /// Acknowledgements in order of time, with the highest point up to each.
    std::vector<Acknowledgement> m_timeline;
    std::map<std::uint64_t, bool> m_absent;
    LogPoint m_highest;
    std::optional<Instant> m_lastAt;
    std::size_t m_confirmations { 0 };
    std::size_t m_ages { 0 };
};

} // namespace Auburnpost::Group
