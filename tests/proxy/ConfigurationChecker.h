#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// Checks by which versions of the configuration the requests of callers are handled. A request sent later than the
/// bound after a version was acknowledged is not handled as only an older version allows if the caller's host was in
/// touch, and a host does not go back to an older version.
class ConfigurationChecker {
public:
    /// The group of each database that has a route.
    using Routes = std::map<DatabaseName, GroupName>;

    struct Request {
        /// The host that the caller is connected to.
        std::size_t host { 0 };
        DatabaseName database;
        Instant sentAt;
    };

    /// By whom a request was decided.
    struct Decider {
        /// The host that refused the request or sent it to a target; another one for a forwarded session.
        std::size_t host { 0 };
        /// The version that this host had applied then.
        std::size_t version { 0 };
    };

    /// Records a version that the operator sends. Versions count up from 1.
    void recordEdit(Routes);
    /// Records that the store acknowledged the latest version, again if the store had lost it.
    void recordAcknowledgement(Instant now) { m_versions.back().acknowledgedAt = now; }
    /// Records that a host is paused, not running, or without an undisturbed store during a time.
    void recordDisturbance(std::size_t host, Instant from, Instant until)
    {
        m_disturbances[host].push_back({ from, until });
    }
    /// Records that the process of a host was started again.
    void recordStart(std::size_t host) { m_seen[host].clear(); }
    /// Checks the outcome of a request.
    /// @param group the group that runs the request; empty if it was refused because the database has no route.
    void checkDecision(Instant now, const Request&, const std::optional<GroupName>& group, const Decider&);

    /// @return the first violation of each kind. Kinds begin with `late` or `back`, by the rule that is broken.
    [[nodiscard]] const std::map<std::string, std::string>& violations() const { return m_violations; }
    static constexpr std::string_view late = "late";
    static constexpr std::string_view back = "back";
    /// @return the number of decisions that were checked.
    [[nodiscard]] std::size_t decisions() const { return m_decisions; }
    /// @return the largest age of a decision by an older version: the time from the acknowledgement of the first
    /// version that does not allow it, or from the end of the last disturbance of the caller's host, to the request.
    [[nodiscard]] Duration largestAge() const { return m_largestAge; }
    /// @return the number of those by which the caller's host was in touch.
    [[nodiscard]] std::size_t decisionsInTouch() const { return m_decisionsInTouch; }
    [[nodiscard]] const Routes& routes() const { return m_versions.back().routes; }
    [[nodiscard]] const Routes& routesOf(std::size_t version) const { return m_versions.at(version - 1).routes; }
    /// @return the latest version.
    [[nodiscard]] std::size_t version() const { return m_versions.size(); }

private:
    struct Version {
        Routes routes;
        std::optional<Instant> acknowledgedAt;
    };
    struct Interval {
        Instant from;
        Instant until;
    };
    /// Callers saw the effect of the version.
    struct Sight {
        Instant at;
        std::size_t version { 0 };
        Decider decider {};
    };

    [[nodiscard]] bool isInTouch(std::size_t host, Instant from, Instant until) const;
    /// @return the end of the last disturbance of the host that ended before a time.
    [[nodiscard]] Instant undisturbedSince(std::size_t host, Instant before) const;
    void recordAge(const Request&, Instant decidedAt, const std::optional<GroupName>&);
    [[nodiscard]] std::size_t lastAcknowledged(Instant before) const;
    [[nodiscard]] Sight lastSeen(std::size_t host, Instant before) const;
    /// Records that callers of a host have seen the effect of a version.
    void recordSight(Instant now, const Request&, const std::optional<GroupName>&, const Decider&);
    void recordViolation(Instant now, const Request&, const std::optional<GroupName>&, const Decider&,
        std::size_t acknowledged, const Sight& seen);
    [[nodiscard]] bool allows(std::size_t version, const DatabaseName&, const std::optional<GroupName>&) const;

    std::vector<Version> m_versions;
    std::map<std::size_t, std::vector<Interval>> m_disturbances;
    /// What the callers of each host have seen, in order of time and version.
    std::map<std::size_t, std::vector<Sight>> m_seen;
    std::map<std::string, std::string> m_violations;
    std::size_t m_decisions { 0 };
    std::size_t m_decisionsInTouch { 0 };
    Duration m_largestAge {};
};

} // namespace Auburnpost::Proxy
