#pragma once

#include "proxy/Catalog.h"
#include "proxy/FakeTarget.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>

namespace Auburnpost::Proxy {

/// Checks the guarantees given to callers against the events at callers and targets.
class ProxyChecker {
public:
    /// A caller's unit of work: a single statement or a transaction.
    struct Unit {
        std::uint64_t session { 0 };
        Consistency consistency { Consistency::Current };
        Duration maxStaleness {};
        Instant begunAt;
    };

    /// Checks that a read of the unit on a target sees the writes that its consistency requires.
    void checkRead(Instant now, const Unit&, const FakeTarget&);
    /// Checks that a target that runs a statement as the primary has every commit that was acknowledged before the
    /// statement, or its transaction, arrived. Commits that a promotion rolled back are reported as lost instead.
    /// @param arrivedAt when the caller sent the statement or the beginning of its transaction.
    void checkPrimaryStatement(Instant arrivedAt, const FakeTarget&);
    /// Records that a target runs a write, and checks that it runs only once.
    /// @param writeId unique among all writes of the callers.
    void recordWriteRun(const std::string& writeId);
    void recordAcknowledged(Instant now, std::uint64_t session, const std::string& writeId);
    /// Records that the write was reported to the caller as not run.
    void recordNotRun(const std::string& writeId) { m_notRun.insert(writeId); }
    /// Checks the session values of the connection on which a target runs a statement.
    void checkValues(const Session::SessionValues& found, const Session::SessionValues& expected);
    void recordOutsideTransaction() { recordViolation("a statement of a transaction ran outside of it"); }
    /// Checks the fencing token of a promotion call that the platform accepted.
    void checkPromotionCall(std::uint64_t token, const std::string& holder);
    /// Checks that a target whose promotion takes effect has every acknowledged write.
    void checkPromotion(const FakeTarget& target);
    /// Checks the primary's log at the end, when no fault is active.
    void checkFinalLog(const FakeTarget& primary);

    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t acknowledgedWrites() const { return m_acknowledged.size(); }
    [[nodiscard]] std::size_t reads() const { return m_reads; }
    /// @return the number of statements that ran at targets as the primary.
    [[nodiscard]] std::size_t primaryStatements() const { return m_primaryStatements; }
    [[nodiscard]] std::size_t promotions() const { return m_promotions; }
    /// @return the number of acknowledged writes that a promoted target or the last primary lacked.
    [[nodiscard]] std::size_t lostWrites() const { return m_lost.size(); }

private:
    using Writes = std::unordered_set<std::string_view>;

    struct Acknowledged {
        Instant at;
        std::uint64_t session;
    };

    void recordViolation(const std::string& text);
    /// @return the writes of the first entries of the log.
    static Writes writesOf(const std::vector<LogEntry>& log, std::size_t count);

    std::map<std::string, Acknowledged> m_acknowledged;
    std::set<std::string> m_notRun;
    std::map<std::string, std::size_t> m_runs;
    std::uint64_t m_lastToken { 0 };
    std::string m_lastHolder;
    std::string m_violation;
    std::size_t m_reads { 0 };
    std::size_t m_primaryStatements { 0 };
    std::size_t m_promotions { 0 };
    std::set<std::string> m_lost;
};

} // namespace Auburnpost::Proxy
