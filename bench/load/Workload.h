#pragma once

#include "base/Random.h"
#include "load/Endpoints.h"
#include "load/HistoryEvent.h"
#include "load/Mix.h"

#include <map>

namespace Auburnpost::Load {

/// What a workload is made of, besides its mix.
struct WorkloadSettings {
    std::vector<OrganisationAccess> organisations;
    /// Facts of one run start with this, so that those of earlier runs are told apart.
    std::string run;
    std::int64_t items { 500 };
    std::size_t sessions { 200 };
    std::uint32_t requestsPerSession { 50 };
};

/// A request to be made, with its session's token.
struct Operation {
    const RequestKind* kind { nullptr };
    const OrganisationAccess* organisation { nullptr };
    std::string token;
    HistoryEvent event;

    /// @return the body of the caller's request.
    [[nodiscard]] std::string body() const;
};

/// Draws the requests of many sessions. A session has one request under way at a time.
class Workload {
public:
    Workload(Mix, WorkloadSettings);

    /// Draws the next request; its session is busy until finished() is called.
    /// @param scheduled the arrival, from which the latency counts.
    Operation next(Instant scheduled, RandomEngine&);
    /// Frees the session of @p event for its next request.
    /// @param token the session's new token; empty keeps the old one.
    void finished(const HistoryEvent& event, const std::string& token);

    [[nodiscard]] const Mix& mix() const { return m_mix; }

private:
    struct Place {
        DatabaseName database;
        std::int64_t item { 0 };
    };
    struct Session {
        std::size_t organisation { 0 };
        std::string token;
        std::vector<Place> written;
        std::uint32_t requestsLeft { 0 };
    };

    SessionNumber takeSession(RandomEngine&);
    const RequestKind& drawKind(RandomEngine&);
    Place drawPlace(const RequestKind&, const Session&, RandomEngine&);
    std::size_t drawIndex(std::size_t size, RandomEngine&);

    Mix m_mix;
    WorkloadSettings m_settings;
    std::map<SessionNumber, Session> m_sessions;
    std::vector<SessionNumber> m_idle;
    std::uint64_t m_lastSession { 0 };
    std::uint64_t m_lastFact { 0 };
};

} // namespace Auburnpost::Load
