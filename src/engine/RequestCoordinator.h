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

/// Operations that RequestCoordinator requires from its host.
class RequestCoordinatorDelegate {
public:
    virtual ~RequestCoordinatorDelegate() = default;
    /// @return the current document; null before there is one.
    [[nodiscard]] virtual const Config::Document* document() const = 0;
    /// @return the homes of the database, in rank order.
    [[nodiscard]] virtual std::vector<HomeRef> homesOf(const DatabaseName&) const = 0;
    /// @return a host by its name; empty when it is not known to be live.
    [[nodiscard]] virtual std::optional<HomeRef> host(const HostName&) const = 0;
    /// Sends a request to a home, which may be this host or another. Its reply is passed to handleHomeReply().
    virtual void dispatch(Instant now, AttemptNumber, const HomeRef&, const HomeRequest&, Instant deadline) = 0;
    virtual Actions& actions() = 0;
};

/// Limits for the handling of one request on its entry host.
struct RequestSettings {
    Duration defaultTimeout { std::chrono::seconds(5) };
    Duration maxTimeout { std::chrono::seconds(60) };
    /// Time without a reply after which an attempt on another host counts as lost.
    Duration attemptTimeout { std::chrono::seconds(2) };
    /// Subtracted from the caller's timeout, so that the answer arrives before the caller times out; at most half of
    /// the timeout is subtracted.
    Duration answerMargin { std::chrono::milliseconds(20) };
    /// Subtracted from an attempt's deadline, so that the home's own reply arrives before the attempt counts as lost.
    Duration replyMargin { std::chrono::milliseconds(20) };
    /// Retries of requests that failed before they were executed, for each database.
    Limit::RetryBudgetSettings retries { 0.1, 5, 50 };
    Limit::OrganisationLimitsSettings organisations;
    Limit::BackoffSettings backoff { std::chrono::milliseconds(10), std::chrono::milliseconds(300) };
};

/// Counters since the start of the process.
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

/// Handles callers' requests on their entry host: checks them, enforces their deadlines, does all retries, and resolves
/// the outcome of a write whose answer was lost.
class RequestCoordinator {
public:
    RequestCoordinator(HostName self, Incarnation, DataCentreName, Route::Signer, const RequestSettings&, RandomEngine&,
        RequestCoordinatorDelegate&);

    void handleRequest(Instant now, CallerRequest);
    void handleCallerDisconnect(RequestId);
    /// Handles the reply to an attempt; a reply that comes too late is ignored.
    void handleHomeReply(Instant now, AttemptNumber, HomeReply);
    /// Handles the failure to send an attempt's message.
    void handleSendFailure(Instant now, AttemptNumber);
    /// Fails the attempts on a host that was declared dead or has restarted.
    void handleHostLoss(Instant now, const HostName&);
    void tick(Instant now);

    [[nodiscard]] std::size_t inFlight() const { return m_requests.size(); }
    [[nodiscard]] const RequestCounters& counters() const { return m_counters; }

private:
    enum class Phase : std::uint8_t {
        /// Resolving the outcomes of the session's unresolved writes.
        ResolvingSessionWrites,
        Executing,
        /// Resolving the outcome of a lost attempt.
        ResolvingAttempt,
    };
    struct Request {
        CallerRequest caller;
        Instant deadline;
        Route::SessionToken session;
        /// Read: keys of the session's earlier writes of unknown outcome, which are resolved before the read is
        /// executed.
        std::deque<OutcomeKey> unresolved;
        /// The request as a home executes it; its outcome key may change with an attempt.
        HomeRequest homeRequest;
        /// The request of the current attempt, which may be one to resolve an outcome.
        HomeRequest attemptRequest;
        Phase phase { Phase::Executing };
        AttemptNumber attempt;
        bool isAttemptOpen { false };
        /// Home of the latest attempt; before the first one, the home that holds the request's transaction.
        HomeRef home;
        Instant attemptDeadline;
        std::optional<Instant> retryAt;
        std::set<HostName> avoidedHomes;
        Limit::Backoff backoff;
        /// Whether an attempt may have been executed, so that a failure is answered as an unknown outcome.
        bool mayHaveRun { false };
        Error lastError;
    };
    using Check = Expected<void>;

    Check checkOrganisation(const CallerRequest&) const;
    Check checkDatabase(const CallerRequest&) const;
    Expected<Request> prepare(Instant now, CallerRequest);
    Expected<HomeRequest> makeHomeRequest(const CallerRequest&, const Route::SessionToken&);
    Expected<HomeRequest> makeTransactionRequest(const CallerRequest&) const;
    OutcomeKey generateOutcomeKey();

    void startNextAttempt(Instant now, Request&);
    void sendAttempt(Instant now, Request&, HomeRequest);
    std::optional<HomeRef> chooseHome(const Request&);
    void handleAttemptLoss(Instant now, Request&, const Error&, bool wasSent);
    void handleAttemptSuccess(Instant now, Request&, HomeResult);
    void handleAttemptFailure(Instant now, Request&, const HomeFailure&);
    void handleSessionWriteOutcome(Instant now, Request&, const HomeResult&);
    void handleResolvedOutcome(Instant now, Request&, HomeResult);
    void resolveUnknownOutcome(Instant now, Request&, const Error&);
    Limit::RetryBudget& retryBudget(const DatabaseName&);
    void scheduleRetry(Instant now, Request&, std::optional<Duration> minimumDelay);
    [[nodiscard]] bool isRetryAllowed(const Request&, ErrorCode) const;

    void answerSuccess(Request&, HomeResult);
    void answerRefusal(Request&, FailedOutcome, const Error&, std::optional<Duration> retryAfter = std::nullopt);
    void logRefusal(const CallerRequest&, const Error&);
    void refuseBeforeAdmission(const CallerRequest&, const Error&, std::optional<Duration> retryAfter = std::nullopt);
    void finishRequest(Request&, CallerAnswer);
    void abandonRequest(Instant now, Request&);
    Request* find(AttemptNumber);
    void closeAttempt(Request&);

    HostName m_self;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    Route::Signer m_signer;
    RequestSettings m_settings;
    RandomEngine& m_random;
    RequestCoordinatorDelegate& m_delegate;
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
