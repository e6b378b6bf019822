#pragma once

#include "base/Random.h"
#include "config/Document.h"
#include "engine/Action.h"
#include "engine/DeadlineSet.h"
#include "engine/HomeRef.h"
#include "limit/Backoff.h"
#include "limit/OrganisationLimits.h"
#include "limit/RetryBudget.h"
#include "message/CallerRequest.h"
#include "message/PeerMessage.h"
#include "route/SessionToken.h"
#include "route/Signer.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Auburnpost {

/// What the coordinator asks of its host.
class RequestCoordinatorOwner {
public:
    virtual ~RequestCoordinatorOwner() = default;
    /// @return the document in force; null before there is one.
    [[nodiscard]] virtual const Config::Document* document() const = 0;
    /// @return the homes of the database, in rank order.
    [[nodiscard]] virtual std::vector<HomeRef> homesOf(const DatabaseName&) const = 0;
    /// @return a host by its name; empty when it is not known to be live.
    [[nodiscard]] virtual std::optional<HomeRef> host(const HostName&) const = 0;
    /// Hands work to a home, be it this host or another. The reply goes to workReplied().
    virtual void dispatch(Instant now, AttemptNumber, const HomeRef&, const Work&, Instant deadline) = 0;
    virtual Actions& actions() = 0;
};

/// Limits of what an entry host does for one request.
struct RequestSettings {
    Duration defaultTimeout { std::chrono::seconds(5) };
    Duration maxTimeout { std::chrono::seconds(60) };
    /// After this long without a reply an attempt counts as lost.
    Duration attemptTimeout { std::chrono::seconds(2) };
    /// Kept back from the caller's deadline, so that the answer comes before the caller gives up.
    Duration answerMargin { std::chrono::milliseconds(20) };
    /// Kept back from an attempt's time, so that the home's own word comes before the attempt counts as lost.
    Duration replyMargin { std::chrono::milliseconds(20) };
    /// Retries of requests that were refused before they ran, for each database.
    Limit::RetryBudgetSettings retries { 0.1, 5, 50 };
    Limit::OrganisationLimitsSettings organisations;
    Limit::BackoffSettings backoff { std::chrono::milliseconds(10), std::chrono::milliseconds(300) };
};

/// Counts since the start.
struct RequestCounters {
    std::uint64_t requests { 0 };
    std::uint64_t attempts { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t done { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t unknown { 0 };
    std::uint64_t readsByReplica { 0 };
    std::uint64_t readsByPrimary { 0 };
};

/// The callers' requests on the host that they entered: checks them, owns their deadline and all retries, and
/// finds out the outcome of a write whose answer was lost.
class RequestCoordinator {
public:
    RequestCoordinator(HostName self, Incarnation, DataCentreName, Route::Signer, const RequestSettings&, RandomEngine&,
        RequestCoordinatorOwner&);

    void arrived(Instant now, CallerRequest);
    void gone(RequestId);
    /// Takes the reply to an attempt; one that comes too late is dropped.
    void workReplied(Instant now, AttemptNumber, WorkReply);
    /// The attempt's message was not sent.
    void notSent(Instant now, AttemptNumber);
    /// A host was declared dead, or came back as a newer incarnation.
    void hostLost(Instant now, const HostName&);
    void tick(Instant now);

    [[nodiscard]] std::size_t inFlight() const { return m_requests.size(); }
    [[nodiscard]] const RequestCounters& counters() const { return m_counters; }

private:
    enum class Phase : std::uint8_t {
        /// Finding out what the session's unsettled writes came to.
        Settling,
        Executing,
        /// Finding out what a lost attempt came to.
        Resolving,
    };
    struct Request {
        CallerRequest caller;
        Instant deadline;
        Route::SessionToken session;
        std::deque<OutcomeKey> unsettled;
        /// The request's own work; the key may change with an attempt.
        Work work;
        /// What the attempt under way does.
        Work attemptWork;
        Phase phase { Phase::Executing };
        AttemptNumber attempt;
        bool attemptOpen { false };
        HomeRef home;
        Instant attemptEnds;
        std::optional<Instant> retryAt;
        std::set<HostName> avoided;
        Limit::Backoff backoff;
        bool mayHaveRun { false };
        Error lastError;
    };
    using Check = Expected<void>;

    Check checkOrganisation(const CallerRequest&) const;
    Check checkDatabase(const CallerRequest&) const;
    Expected<Request> prepare(Instant now, CallerRequest);
    Expected<Work> makeWork(const CallerRequest&, const Route::SessionToken&);
    Expected<Work> makeTransactionWork(const CallerRequest&) const;
    OutcomeKey freshKey();

    void proceed(Instant now, Request&);
    void attempt(Instant now, Request&, Work);
    std::optional<HomeRef> chooseHome(const Request&);
    void attemptLost(Instant now, Request&, const Error&, bool wasSent);
    void attemptDone(Instant now, Request&, WorkDone);
    void attemptFailed(Instant now, Request&, const WorkFailed&);
    void settled(Instant now, Request&, const WorkDone&);
    void resolved(Instant now, Request&, WorkDone);
    void resolveOrGiveUp(Instant now, Request&, const Error&);
    Limit::RetryBudget& retryBudget(const DatabaseName&);
    void retryLater(Instant now, Request&, std::optional<Duration> atLeast);
    [[nodiscard]] bool mayRetry(const Request&, ErrorCode) const;

    void answerDone(Request&, WorkDone);
    void answerRefusal(Request&, FailedOutcome, const Error&, std::optional<Duration> retryAfter = std::nullopt);
    void logRefusal(const CallerRequest&, const Error&);
    void refuseAtOnce(const CallerRequest&, const Error&, std::optional<Duration> retryAfter = std::nullopt);
    void finish(Request&, CallerAnswer);
    void giveUp(Instant now, Request&);
    Request* find(AttemptNumber);
    void closeAttempt(Request&);

    HostName m_self;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    Route::Signer m_signer;
    RequestSettings m_settings;
    RandomEngine& m_random;
    RequestCoordinatorOwner& m_owner;
    std::map<RequestId, Request> m_requests;
    std::map<AttemptNumber, RequestId> m_attempts;
    DeadlineSet<RequestId> m_deadlines;
    DeadlineSet<AttemptNumber> m_attemptDeadlines;
    DeadlineSet<RequestId> m_retries;
    std::map<DatabaseName, Limit::RetryBudget> m_retryBudgets;
    Limit::OrganisationLimits m_organisations;
    std::uint64_t m_lastAttempt { 0 };
    std::uint64_t m_lastKey { 0 };
    RequestCounters m_counters;
};

} // namespace Auburnpost
