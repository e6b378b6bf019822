#pragma once

#include "base/Random.h"
#include "load/Endpoints.h"
#include "load/HistoryEvent.h"
#include "load/Mix.h"

#include <map>

namespace Auburnpost::Load {

/// Parameters of a workload besides its mix.
struct WorkloadSettings {
    std::vector<OrganisationAccess> organisations;
    /// Prefix of the facts of this run, which distinguishes them from facts of earlier runs.
    std::string run;
    /// Number of items per database.
    std::int64_t items { 500 };
    /// Number of concurrent sessions.
    std::size_t sessions { 200 };
    std::uint32_t requestsPerSession { 50 };
};

/// A request to send, with the token of its session.
struct Operation {
    const RequestKind* kind { nullptr };
    const OrganisationAccess* organisation { nullptr };
    std::string token;
    HistoryEvent event;

    /// @return the body of the caller's request.
    [[nodiscard]] std::string body() const;
};

/// Draws the requests of many sessions at random. A session has at most one request in flight.
class Workload {
public:
    Workload(Mix, WorkloadSettings);

    /// Draws the next request; its session is busy until completeRequest() is called.
    /// @param scheduled time of the arrival, from which the latency is measured.
    Operation next(Instant scheduled, RandomEngine&);
    /// Releases the session of @p event for its next request.
    /// @param token the session's new token; empty keeps the old one.
    void completeRequest(const HistoryEvent& event, const std::string& token);

    [[nodiscard]] const Mix& mix() const { return m_mix; }

private:
    struct ItemLocation {
        DatabaseName database;
        std::int64_t item { 0 };
    };
    struct Session {
        std::size_t organisation { 0 };
        std::string token;
        std::vector<ItemLocation> written;
        std::uint32_t requestsLeft { 0 };
    };

    SessionNumber acquireSession(RandomEngine&);
    const RequestKind& drawKind(RandomEngine&);
    ItemLocation drawLocation(const RequestKind&, const Session&, RandomEngine&);
    std::size_t drawIndex(std::size_t size, RandomEngine&);

    Mix m_mix;
    WorkloadSettings m_settings;
    std::map<SessionNumber, Session> m_sessions;
    std::vector<SessionNumber> m_idle;
    std::uint64_t m_lastSession { 0 };
    std::uint64_t m_lastFact { 0 };
};

} // namespace Auburnpost::Load
