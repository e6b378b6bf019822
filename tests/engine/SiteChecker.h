#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost {

/// Remembers what callers were told and compares it with what they read and with the final log.
class SiteChecker {
public:
    enum class Told : std::uint8_t { Nothing, Acknowledged, NotRun, Unknown };

    void told(const std::string& fact, Told);
    /// Checks an answer against the facts that it has to hold.
    void read(const std::string& what, const std::vector<std::string>& mustSee, const std::vector<std::string>& seen);
    /// Checks everything that callers were told against the final log.
    void checkLog(const std::map<std::string, int>& counts);
    void fail(const std::string& what);

    /// @return the facts acknowledged so far.
    [[nodiscard]] const std::set<std::string>& acknowledged() const { return m_acknowledged; }
    /// @return first broken promise; empty when there was none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t count(Told) const;
    [[nodiscard]] std::size_t reads() const { return m_reads; }

private:
    std::map<std::string, Told> m_told;
    std::set<std::string> m_acknowledged;
    std::string m_violation;
    std::size_t m_reads { 0 };
};

} // namespace Auburnpost
