#pragma once

#include "proxy/Catalog.h"
#include "proxy/FakeTarget.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace Auburnpost::Proxy {

/// Checks the promises to callers from what callers and targets see.
class ProxyChecker {
public:
    /// A unit of work of a caller: a statement alone, or a transaction.
    struct Unit {
        std::uint64_t session { 0 };
        Consistency consistency { Consistency::Current };
        Duration maxStaleness {};
        Instant begunAt;
    };

    /// A statement of the unit reads on a target.
    void readRuns(Instant now, const Unit&, const FakeTarget&);
    /// A target runs a write; @p writeId is used once by the callers.
    void writeRuns(const std::string& writeId);
    void acknowledged(Instant now, std::uint64_t session, const std::string& writeId);
    /// The caller was promised that nothing is kept.
    void promisedNotRun(const std::string& writeId) { m_promised.insert(writeId); }
    /// A target runs a statement on a connection with these values.
    void valuesAre(const Session::SessionValues& found, const Session::SessionValues& expected);
    void statementOutsideTransaction() { broken("a statement of a transaction ran outside of it"); }
    /// The platform takes the call for a promotion.
    void promotionCalled(std::uint64_t token, const std::string& holder);
    /// A promotion takes effect.
    void promoted(const FakeTarget& target);
    /// At the end, with everything healed.
    void finished(const FakeTarget& primary);

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t acknowledgedWrites() const { return m_acknowledged.size(); }
    [[nodiscard]] std::size_t reads() const { return m_reads; }
    [[nodiscard]] std::size_t promotions() const { return m_promotions; }

private:
    struct Acknowledged {
        Instant at;
        std::uint64_t session;
    };

    void broken(const std::string& text);
    static bool contains(const std::vector<LogEntry>& log, std::size_t count, const std::string& writeId);

    std::map<std::string, Acknowledged> m_acknowledged;
    std::set<std::string> m_promised;
    std::map<std::string, std::size_t> m_runs;
    std::uint64_t m_lastToken { 0 };
    std::string m_lastHolder;
    std::string m_violation;
    std::size_t m_reads { 0 };
    std::size_t m_promotions { 0 };
};

} // namespace Auburnpost::Proxy
