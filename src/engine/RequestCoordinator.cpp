#include "engine/RequestCoordinator.h"

#include "base/Invariant.h"
#include "engine/OutcomeKeys.h"

#include <algorithm>

namespace Auburnpost {

namespace {

    bool isRetryable(ErrorCode code)
    {
        switch (code) {
        case ErrorCode::NotPrimary:
        case ErrorCode::NoPrimary:
        case ErrorCode::NoFreshTarget:
        case ErrorCode::NoHome:
        case ErrorCode::ConnectionRefused:
        case ErrorCode::ConnectionLost:
        case ErrorCode::TooManyConnections:
        case ErrorCode::PeerUnreachable:
        case ErrorCode::Leaving:
        case ErrorCode::Conflict:
        case ErrorCode::DeadlineExceeded:
            return true;
        default:
            return false;
        }
    }

    bool isTransactionAction(CallerAction action)
    {
        return action == CallerAction::ExecuteInTransaction || action == CallerAction::Commit
            || action == CallerAction::Rollback;
    }

    bool hasIdempotencyKey(const CallerRequest& request)
    {
        return !request.idempotencyKey.empty();
    }

    HomeRequest makeResolveRequest(HomeRequestKind kind, const HomeRequest& original, const OutcomeKey& key)
    {
        HomeRequest homeRequest;
        homeRequest.kind = kind;
        homeRequest.organisation = original.organisation;
        homeRequest.database = original.database;
        homeRequest.outcomeKey = key;
        return homeRequest;
    }

    /// The key of a host is never used again, so its write can be cancelled. A caller may use its own key again, so the
    /// outcome of that write is only looked up.
    HomeRequestKind resolveRequestKind(const OutcomeKey& key)
    {
        return OutcomeKeys::isCallerKey(key) ? HomeRequestKind::Lookup : HomeRequestKind::Cancel;
    }

} // namespace

RequestCoordinator::RequestCoordinator(HostName self, Incarnation incarnation, DataCentreName dataCentre,
    Route::Signer signer, const RequestSettings& settings, RandomEngine& random, RequestCoordinatorDelegate& delegate)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_dataCentre(std::move(dataCentre))
    , m_signer(std::move(signer))
    , m_settings(settings)
    , m_random(random)
    , m_delegate(delegate)
    , m_organisations(settings.organisations)
{
}

void RequestCoordinator::handleRequest(Instant now, CallerRequest caller)
{
    ++m_counters.requests;
    auto prepared = prepare(now, caller);
    if (!prepared) {
        refuseBeforeAdmission(caller, prepared.error());
        return;
    }
    if (!m_organisations.tryAdmit(now, caller.organisation)) {
        const Error error { ErrorCode::OrganisationLimit, "admit", caller.organisation.value(),
            "the organisation holds its share of this host" };
        refuseBeforeAdmission(caller, error, std::chrono::seconds(1));
        return;
    }
    retryBudget(prepared->homeRequest.database).recordRequest(now);
    const auto id = caller.id;
    const auto [entry, added] = m_requests.emplace(id, std::move(*prepared));
    AUBURNPOST_INVARIANT(added, "a request id is used once");
    m_deadlines.add(entry->second.deadline, id);
    startNextAttempt(now, entry->second);
}

void RequestCoordinator::startNextAttempt(Instant now, Request& request)
{
    if (!request.unresolved.empty()) {
        request.phase = Phase::ResolvingSessionWrites;
        const auto& key = request.unresolved.front();
        sendAttempt(now, request, makeResolveRequest(resolveRequestKind(key), request.homeRequest, key));
        return;
    }
    request.phase = Phase::Executing;
    request.homeRequest.required = request.session.entry(request.homeRequest.database).seen;
    if (request.homeRequest.kind == HomeRequestKind::Write && !hasIdempotencyKey(request.caller))
        request.homeRequest.outcomeKey = generateOutcomeKey();
    sendAttempt(now, request, request.homeRequest);
}

Limit::RetryBudget& RequestCoordinator::retryBudget(const DatabaseName& database)
{
    return m_retryBudgets.try_emplace(database, m_settings.retries).first->second;
}

OutcomeKey RequestCoordinator::generateOutcomeKey()
{
    return OutcomeKeys::ofHost(m_self, m_incarnation, ++m_lastKey);
}

void RequestCoordinator::sendAttempt(Instant now, Request& request, HomeRequest homeRequest)
{
    request.attemptRequest = std::move(homeRequest);
    const auto home = chooseHome(request);
    if (!home && isTransactionAction(request.caller.action) && request.phase == Phase::Executing) {
        answerRefusal(request, FailedOutcome::NotRun,
            { ErrorCode::TransactionLost, "find home", request.home.name.value(), "the transaction's home is gone" });
        return;
    }
    if (!home) {
        request.lastError
            = { ErrorCode::NoHome, "choose home", request.homeRequest.database.value(), "no host holds this database" };
        scheduleRetry(now, request, std::nullopt);
        return;
    }
    ++m_counters.attempts;
    request.home = *home;
    request.attempt = AttemptNumber(++m_lastAttempt);
    request.isAttemptOpen = true;
    const bool isOwn = home->name == m_self;
    request.attemptDeadline = isOwn ? request.deadline : std::min(request.deadline, now + m_settings.attemptTimeout);
    m_attempts.emplace(request.attempt, request.caller.id);
    m_attemptDeadlines.add(request.attemptDeadline, request.attempt);
    m_delegate.dispatch(
        now, request.attempt, *home, request.attemptRequest, request.attemptDeadline - m_settings.replyMargin);
}

std::optional<HomeRef> RequestCoordinator::chooseHome(const Request& request)
{
    if (request.phase == Phase::Executing && isTransactionAction(request.caller.action))
        return m_delegate.host(request.home.name);
    auto homes = m_delegate.homesOf(request.homeRequest.database);
    if (homes.empty())
        return std::nullopt;
    std::vector<HomeRef> eligible;
    std::copy_if(homes.begin(), homes.end(), std::back_inserter(eligible),
        [&request](const auto& home) { return !request.avoidedHomes.contains(home.name); });
    if (eligible.empty())
        eligible = std::move(homes);
    const auto own
        = std::find_if(eligible.begin(), eligible.end(), [this](const auto& home) { return home.name == m_self; });
    if (own != eligible.end())
        return *own;
    const auto nearEnd = std::stable_partition(
        eligible.begin(), eligible.end(), [this](const auto& home) { return home.dataCentre == m_dataCentre; });
    const auto count
        = nearEnd == eligible.begin() ? eligible.size() : static_cast<std::size_t>(nearEnd - eligible.begin());
    return eligible[std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random)];
}

RequestCoordinator::Request* RequestCoordinator::find(AttemptNumber attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return nullptr;
    const auto request = m_requests.find(found->second);
    return request == m_requests.end() ? nullptr : &request->second;
}

void RequestCoordinator::closeAttempt(Request& request)
{
    if (!request.isAttemptOpen)
        return;
    request.isAttemptOpen = false;
    m_attempts.erase(request.attempt);
    m_attemptDeadlines.remove(request.attemptDeadline, request.attempt);
}

void RequestCoordinator::handleHomeReply(Instant now, AttemptNumber attempt, HomeReply reply)
{
    auto* request = find(attempt);
    if (!request)
        return;
    closeAttempt(*request);
    if (auto* success = std::get_if<HomeResult>(&reply))
        handleAttemptSuccess(now, *request, std::move(*success));
    else
        handleAttemptFailure(now, *request, std::get<HomeFailure>(reply));
}

void RequestCoordinator::handleAttemptSuccess(Instant now, Request& request, HomeResult success)
{
    request.backoff.recordSuccess();
    switch (request.phase) {
    case Phase::ResolvingSessionWrites:
        return handleSessionWriteOutcome(now, request, success);
    case Phase::Executing:
        return answerSuccess(request, std::move(success));
    case Phase::ResolvingAttempt:
        return handleResolvedOutcome(now, request, std::move(success));
    }
}

void RequestCoordinator::handleSessionWriteOutcome(Instant now, Request& request, const HomeResult& success)
{
    const auto key = request.unresolved.front();
    request.unresolved.pop_front();
    if (success.wasExecuted && success.durable)
        request.session.advance(request.homeRequest.database, *success.durable);
    if (success.wasExecuted || resolveRequestKind(key) == HomeRequestKind::Cancel)
        request.session.resolve(request.homeRequest.database, key);
    startNextAttempt(now, request);
}

void RequestCoordinator::handleResolvedOutcome(Instant now, Request& request, HomeResult success)
{
    m_delegate.actions().emplace_back(LogRecord { LogEvent::OutcomeResolved,
        { { "key", request.homeRequest.outcomeKey.value() }, { "ran", success.wasExecuted ? "yes" : "no" } } });
    if (success.wasExecuted) {
        answerSuccess(request, std::move(success));
        return;
    }
    // The cancellation has recorded the key, so that attempt was not executed and never will be.
    request.mayHaveRun = false;
    if (request.caller.action == CallerAction::Commit) {
        answerRefusal(request, FailedOutcome::NotRun,
            { ErrorCode::TransactionLost, "commit", request.home.name.value(), "the transaction was rolled back" });
        return;
    }
    startNextAttempt(now, request);
}

void RequestCoordinator::handleAttemptFailure(Instant now, Request& request, const HomeFailure& failure)
{
    request.lastError = failure.error;
    if (request.phase != Phase::Executing) {
        scheduleRetry(now, request, failure.retryAfter);
        return;
    }
    if (failure.outcome == FailedOutcome::Unknown) {
        request.mayHaveRun = true;
        resolveUnknownOutcome(now, request, failure.error);
        return;
    }
    if (isRetryAllowed(request, failure.error.code)) {
        if (failure.error.code == ErrorCode::NoHome || failure.error.code == ErrorCode::Leaving)
            request.avoidedHomes.insert(request.home.name);
        if (retryBudget(request.homeRequest.database).tryRetry(now)) {
            scheduleRetry(now, request, failure.retryAfter);
            return;
        }
        request.lastError.code = ErrorCode::RetryBudgetSpent;
        abandonRequest(now, request);
        return;
    }
    answerRefusal(request, request.mayHaveRun ? FailedOutcome::Unknown : FailedOutcome::NotRun, failure.error,
        failure.retryAfter);
}

bool RequestCoordinator::isRetryAllowed(const Request& request, ErrorCode code) const
{
    return !isTransactionAction(request.caller.action) && isRetryable(code);
}

void RequestCoordinator::resolveUnknownOutcome(Instant now, Request& request, const Error& error)
{
    const auto action = request.caller.action;
    if (action == CallerAction::ExecuteInTransaction || action == CallerAction::Rollback) {
        answerRefusal(request, FailedOutcome::Unknown, error);
        return;
    }
    m_delegate.actions().emplace_back(LogRecord { LogEvent::OutcomeUnknown,
        { { "key", request.homeRequest.outcomeKey.value() }, { "error", error.describe() } } });
    if (action == CallerAction::Execute && request.homeRequest.kind == HomeRequestKind::Write
        && hasIdempotencyKey(request.caller)) {
        // The key allows one execution only, so sending the write again both resolves the outcome and executes it if
        // needed.
        scheduleRetry(now, request, std::nullopt);
        return;
    }
    request.phase = Phase::ResolvingAttempt;
    sendAttempt(
        now, request, makeResolveRequest(HomeRequestKind::Cancel, request.homeRequest, request.homeRequest.outcomeKey));
}

void RequestCoordinator::handleAttemptLoss(Instant now, Request& request, const Error& error, bool wasSent)
{
    closeAttempt(request);
    request.avoidedHomes.insert(request.home.name);
    const bool mayHaveEffect
        = request.attemptRequest.kind == HomeRequestKind::Write || isTransactionAction(request.caller.action);
    const auto outcome = wasSent && mayHaveEffect ? FailedOutcome::Unknown : FailedOutcome::NotRun;
    handleAttemptFailure(now, request, { outcome, error, std::nullopt });
}

void RequestCoordinator::handleSendFailure(Instant now, AttemptNumber attempt)
{
    if (auto* request = find(attempt))
        handleAttemptLoss(now, *request,
            { ErrorCode::PeerUnreachable, "forward", request->home.name.value(), "the link takes no message" }, false);
}

void RequestCoordinator::handleHostLoss(Instant now, const HostName& host)
{
    std::vector<AttemptNumber> lostAttempts;
    for (const auto& [attempt, id] : m_attempts) {
        const auto* request = find(attempt);
        if (request && request->home.name == host && host != m_self)
            lostAttempts.push_back(attempt);
    }
    for (const auto attempt : lostAttempts) {
        if (auto* request = find(attempt))
            handleAttemptLoss(
                now, *request, { ErrorCode::PeerUnreachable, "forward", host.value(), "the home is gone" }, true);
    }
}

void RequestCoordinator::scheduleRetry(Instant now, Request& request, std::optional<Duration> minimumDelay)
{
    const auto delay = std::max(request.backoff.recordFailure(m_random), minimumDelay.value_or(Duration::zero()));
    const auto retryTime = now + delay;
    if (retryTime >= request.deadline) {
        abandonRequest(now, request);
        return;
    }
    ++m_counters.retries;
    request.retryAt = retryTime;
    m_retries.add(retryTime, request.caller.id);
}

void RequestCoordinator::abandonRequest(Instant, Request& request)
{
    auto error = request.lastError;
    if (error.step.empty())
        error
            = { ErrorCode::DeadlineExceeded, "execute", request.home.name.value(), "no answer within the time limit" };
    answerRefusal(
        request, request.mayHaveRun ? FailedOutcome::Unknown : FailedOutcome::NotRun, error, std::chrono::seconds(1));
}

void RequestCoordinator::tick(Instant now)
{
    for (const auto attempt : m_attemptDeadlines.takeExpired(now)) {
        if (auto* request = find(attempt))
            handleAttemptLoss(now, *request,
                { ErrorCode::DeadlineExceeded, "forward", request->home.name.value(), "no reply in time" }, true);
    }
    for (const auto id : m_retries.takeExpired(now)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end() || !found->second.retryAt)
            continue;
        auto& request = found->second;
        request.retryAt.reset();
        if (request.phase == Phase::ResolvingAttempt)
            sendAttempt(now, request,
                makeResolveRequest(HomeRequestKind::Cancel, request.homeRequest, request.homeRequest.outcomeKey));
        else
            startNextAttempt(now, request);
    }
    for (const auto id : m_deadlines.takeExpired(now)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        auto& request = found->second;
        const bool mayHaveEffect = request.phase == Phase::Executing && request.isAttemptOpen
            && (request.attemptRequest.kind == HomeRequestKind::Write || isTransactionAction(request.caller.action));
        request.mayHaveRun = request.mayHaveRun || mayHaveEffect;
        closeAttempt(request);
        request.lastError
            = { ErrorCode::DeadlineExceeded, "execute", request.home.name.value(), "no answer within the time limit" };
        abandonRequest(now, request);
    }
}

void RequestCoordinator::handleCallerDisconnect(RequestId id)
{
    // An attempt in progress is completed; only its answer is not needed any more.
    (void)id;
}

} // namespace Auburnpost
