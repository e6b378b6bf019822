#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
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
    /// @param decidedBy the host that decided, which is another one for a forwarded session.
    void checkDecision(Instant now, const Request&, const std::optional<GroupName>& group, std::size_t decidedBy);

    /// @return the first violation; empty if there is none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    /// @return the number of violations.
    [[nodiscard]] std::size_t violations() const { return m_violations; }
    /// @return the number of decisions that were checked.
    [[nodiscard]] std::size_t decisions() const { return m_decisions; }
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
    /// Callers saw the effect of the version, or of a later one.
    struct Sight {
        Instant at;
        std::size_t version { 0 };
    };

    [[nodiscard]] bool isInTouch(std::size_t host, Instant from, Instant until) const;
    [[nodiscard]] std::size_t lastAcknowledged(Instant before) const;
    [[nodiscard]] std::size_t lastSeen(std::size_t host, Instant before) const;
    [[nodiscard]] bool allows(std::size_t version, const DatabaseName&, const std::optional<GroupName>&) const;

    std::vector<Version> m_versions;
    std::map<std::size_t, std::vector<Interval>> m_disturbances;
    /// What the callers of each host have seen, in order of time and version.
    std::map<std::size_t, std::vector<Sight>> m_seen;
    std::string m_violation;
    std::size_t m_violations { 0 };
    std::size_t m_decisions { 0 };
    std::size_t m_decisionsInTouch { 0 };
};

} // namespace Auburnpost::Proxy
