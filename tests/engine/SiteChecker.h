#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost {

/// Records the outcomes reported to callers and compares them with what callers read and with the final log.
class SiteChecker {
public:
    enum class ReportedOutcome : std::uint8_t { None, Acknowledged, NotRun, Unknown };

    void recordOutcome(const std::string& fact, ReportedOutcome);
    /// Checks that a read holds every fact of @p requiredFacts, and none twice.
    /// @param what description of the read for the text of a violation.
    void checkRead(
        const std::string& what, const std::vector<std::string>& requiredFacts, const std::vector<std::string>& seen);
    /// Checks all reported outcomes against the final log.
    /// @param counts how many times each fact is in that log.
    void checkLog(const std::map<std::string, int>& counts);
    /// Records a violation; only the first one is kept.
    void fail(const std::string& what);

    /// @return the facts acknowledged so far.
    [[nodiscard]] const std::set<std::string>& acknowledged() const { return m_acknowledged; }
    /// @return the first violation; empty when there was none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t count(ReportedOutcome) const;
    [[nodiscard]] std::size_t reads() const { return m_reads; }

private:
    std::map<std::string, ReportedOutcome> m_reportedOutcomes;
    std::set<std::string> m_acknowledged;
    std::string m_violation;
    std::size_t m_reads { 0 };
};

} // namespace Auburnpost
