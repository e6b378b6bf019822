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

    bool isOfTransaction(CallerAction action)
    {
        return action == CallerAction::ExecuteInTransaction || action == CallerAction::Commit
            || action == CallerAction::Rollback;
    }

    bool isKeyed(const CallerRequest& request)
    {
        return !request.idempotencyKey.empty();
    }

    Work settleWork(WorkKind kind, const Work& about, const OutcomeKey& key)
    {
        Work work;
        work.kind = kind;
        work.organisation = about.organisation;
        work.database = about.database;
        work.outcomeKey = key;
        return work;
    }

    /// A key that a host made is never used again, so its write can be cancelled. A caller may come back with its own.
    WorkKind settleKind(const OutcomeKey& key)
    {
        return OutcomeKeys::isCallers(key) ? WorkKind::Lookup : WorkKind::Cancel;
    }

} // namespace

RequestCoordinator::RequestCoordinator(HostName self, Incarnation incarnation, DataCentreName dataCentre,
    Route::Signer signer, const RequestSettings& settings, RandomEngine& random, RequestCoordinatorOwner& owner)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_dataCentre(std::move(dataCentre))
    , m_signer(std::move(signer))
    , m_settings(settings)
    , m_random(random)
    , m_owner(owner)
    , m_organisations(settings.organisations)
{
}

void RequestCoordinator::arrived(Instant now, CallerRequest caller)
{
    ++m_counters.requests;
    auto prepared = prepare(now, caller);
    if (!prepared) {
        refuseAtOnce(caller, prepared.error());
        return;
    }
    if (!m_organisations.tryAdmit(now, caller.organisation)) {
        const Error error { ErrorCode::OrganisationLimit, "admit", caller.organisation.value(),
            "the organisation holds its share of this host" };
        refuseAtOnce(caller, error, std::chrono::seconds(1));
        return;
    }
    retryBudget(prepared->work.database).freshRequest(now);
    const auto id = caller.id;
    const auto [entry, added] = m_requests.emplace(id, std::move(*prepared));
    AUBURNPOST_INVARIANT(added, "a request id is used once");
    m_deadlines.add(entry->second.deadline, id);
    proceed(now, entry->second);
}

void RequestCoordinator::proceed(Instant now, Request& request)
{
    if (!request.unsettled.empty()) {
        request.phase = Phase::Settling;
        const auto& key = request.unsettled.front();
        attempt(now, request, settleWork(settleKind(key), request.work, key));
        return;
    }
    request.phase = Phase::Executing;
    request.work.required = request.session.entry(request.work.database).seen;
    if (request.work.kind == WorkKind::Write && !isKeyed(request.caller))
        request.work.outcomeKey = freshKey();
    attempt(now, request, request.work);
}

Limit::RetryBudget& RequestCoordinator::retryBudget(const DatabaseName& database)
{
    return m_retryBudgets.try_emplace(database, m_settings.retries).first->second;
}

OutcomeKey RequestCoordinator::freshKey()
{
    return OutcomeKeys::ofHost(m_self, m_incarnation, ++m_lastKey);
}

void RequestCoordinator::attempt(Instant now, Request& request, Work work)
{
    request.attemptWork = std::move(work);
    const auto home = chooseHome(request);
    if (!home && isOfTransaction(request.caller.action) && request.phase == Phase::Executing) {
        answerRefusal(request, FailedOutcome::NotRun,
            { ErrorCode::TransactionLost, "find home", request.home.name.value(), "the transaction's home is gone" });
        return;
    }
    if (!home) {
        request.lastError
            = { ErrorCode::NoHome, "choose home", request.work.database.value(), "no host holds this database" };
        retryLater(now, request, std::nullopt);
        return;
    }
    ++m_counters.attempts;
    request.home = *home;
    request.attempt = AttemptNumber(++m_lastAttempt);
    request.attemptOpen = true;
    const bool isOwn = home->name == m_self;
    request.attemptEnds = isOwn ? request.deadline : std::min(request.deadline, now + m_settings.attemptTimeout);
    m_attempts.emplace(request.attempt, request.caller.id);
    m_attemptDeadlines.add(request.attemptEnds, request.attempt);
    m_owner.dispatch(now, request.attempt, *home, request.attemptWork, request.attemptEnds - m_settings.replyMargin);
}

std::optional<HomeRef> RequestCoordinator::chooseHome(const Request& request)
{
    if (request.phase == Phase::Executing && isOfTransaction(request.caller.action))
        return m_owner.host(request.home.name);
    auto homes = m_owner.homesOf(request.work.database);
    if (homes.empty())
        return std::nullopt;
    std::vector<HomeRef> fresh;
    std::copy_if(homes.begin(), homes.end(), std::back_inserter(fresh),
        [&request](const auto& home) { return !request.avoided.contains(home.name); });
    if (fresh.empty())
        fresh = std::move(homes);
    const auto own = std::find_if(fresh.begin(), fresh.end(), [this](const auto& home) { return home.name == m_self; });
    if (own != fresh.end())
        return *own;
    const auto near = std::stable_partition(
        fresh.begin(), fresh.end(), [this](const auto& home) { return home.dataCentre == m_dataCentre; });
    const auto count = near == fresh.begin() ? fresh.size() : static_cast<std::size_t>(near - fresh.begin());
    return fresh[std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random)];
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
    if (!request.attemptOpen)
        return;
    request.attemptOpen = false;
    m_attempts.erase(request.attempt);
    m_attemptDeadlines.remove(request.attemptEnds, request.attempt);
}

void RequestCoordinator::workReplied(Instant now, AttemptNumber attempt, WorkReply reply)
{
    auto* request = find(attempt);
    if (!request)
        return;
    closeAttempt(*request);
    if (auto* done = std::get_if<WorkDone>(&reply))
        attemptDone(now, *request, std::move(*done));
    else
        attemptFailed(now, *request, std::get<WorkFailed>(reply));
}

void RequestCoordinator::attemptDone(Instant now, Request& request, WorkDone done)
{
    request.backoff.succeed();
    switch (request.phase) {
    case Phase::Settling:
        return settled(now, request, done);
    case Phase::Executing:
        return answerDone(request, std::move(done));
    case Phase::Resolving:
        return resolved(now, request, std::move(done));
    }
}

void RequestCoordinator::settled(Instant now, Request& request, const WorkDone& done)
{
    const auto key = request.unsettled.front();
    request.unsettled.pop_front();
    if (done.found && done.durable)
        request.session.advance(request.work.database, *done.durable);
    if (done.found || settleKind(key) == WorkKind::Cancel)
        request.session.settle(request.work.database, key);
    proceed(now, request);
}

void RequestCoordinator::resolved(Instant now, Request& request, WorkDone done)
{
    m_owner.actions().emplace_back(LogRecord { LogEvent::OutcomeResolved,
        { { "key", request.work.outcomeKey.value() }, { "ran", done.found ? "yes" : "no" } } });
    if (done.found) {
        answerDone(request, std::move(done));
        return;
    }
    // The key is claimed: that attempt has not run and never will.
    request.mayHaveRun = false;
    if (request.caller.action == CallerAction::Commit) {
        answerRefusal(request, FailedOutcome::NotRun,
            { ErrorCode::TransactionLost, "commit", request.home.name.value(), "the transaction was rolled back" });
        return;
    }
    proceed(now, request);
}

void RequestCoordinator::attemptFailed(Instant now, Request& request, const WorkFailed& failed)
{
    request.lastError = failed.error;
    if (request.phase != Phase::Executing) {
        retryLater(now, request, failed.retryAfter);
        return;
    }
    if (failed.outcome == FailedOutcome::Unknown) {
        request.mayHaveRun = true;
        resolveOrGiveUp(now, request, failed.error);
        return;
    }
    if (mayRetry(request, failed.error.code)) {
        if (failed.error.code == ErrorCode::NoHome || failed.error.code == ErrorCode::Leaving)
            request.avoided.insert(request.home.name);
        if (retryBudget(request.work.database).tryRetry(now)) {
            retryLater(now, request, failed.retryAfter);
            return;
        }
        request.lastError.code = ErrorCode::RetryBudgetSpent;
        giveUp(now, request);
        return;
    }
    answerRefusal(
        request, request.mayHaveRun ? FailedOutcome::Unknown : FailedOutcome::NotRun, failed.error, failed.retryAfter);
}

bool RequestCoordinator::mayRetry(const Request& request, ErrorCode code) const
{
    return !isOfTransaction(request.caller.action) && isRetryable(code);
}

void RequestCoordinator::resolveOrGiveUp(Instant now, Request& request, const Error& error)
{
    const auto action = request.caller.action;
    if (action == CallerAction::ExecuteInTransaction || action == CallerAction::Rollback) {
        answerRefusal(request, FailedOutcome::Unknown, error);
        return;
    }
    m_owner.actions().emplace_back(LogRecord {
        LogEvent::OutcomeUnknown, { { "key", request.work.outcomeKey.value() }, { "error", error.describe() } } });
    if (action == CallerAction::Execute && request.work.kind == WorkKind::Write && isKeyed(request.caller)) {
        // The key lets it run once only, so sending it again finds out and carries out in one.
        retryLater(now, request, std::nullopt);
        return;
    }
    request.phase = Phase::Resolving;
    attempt(now, request, settleWork(WorkKind::Cancel, request.work, request.work.outcomeKey));
}

void RequestCoordinator::attemptLost(Instant now, Request& request, const Error& error, bool wasSent)
{
    closeAttempt(request);
    request.avoided.insert(request.home.name);
    const bool hasEffect = request.attemptWork.kind == WorkKind::Write || isOfTransaction(request.caller.action);
    const auto outcome = wasSent && hasEffect ? FailedOutcome::Unknown : FailedOutcome::NotRun;
    attemptFailed(now, request, { outcome, error, std::nullopt });
}

void RequestCoordinator::notSent(Instant now, AttemptNumber attempt)
{
    if (auto* request = find(attempt))
        attemptLost(now, *request,
            { ErrorCode::PeerUnreachable, "forward", request->home.name.value(), "the link takes no message" }, false);
}

void RequestCoordinator::hostLost(Instant now, const HostName& host)
{
    std::vector<AttemptNumber> lost;
    for (const auto& [attempt, id] : m_attempts) {
        const auto* request = find(attempt);
        if (request && request->home.name == host && host != m_self)
            lost.push_back(attempt);
    }
    for (const auto attempt : lost) {
        if (auto* request = find(attempt))
            attemptLost(
                now, *request, { ErrorCode::PeerUnreachable, "forward", host.value(), "the home is gone" }, true);
    }
}

void RequestCoordinator::retryLater(Instant now, Request& request, std::optional<Duration> atLeast)
{
    const auto wait = std::max(request.backoff.fail(m_random), atLeast.value_or(Duration::zero()));
    const auto at = now + wait;
    if (at >= request.deadline) {
        giveUp(now, request);
        return;
    }
    ++m_counters.retries;
    request.retryAt = at;
    m_retries.add(at, request.caller.id);
}

void RequestCoordinator::giveUp(Instant, Request& request)
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
            attemptLost(now, *request,
                { ErrorCode::DeadlineExceeded, "forward", request->home.name.value(), "no reply in time" }, true);
    }
    for (const auto id : m_retries.takeExpired(now)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end() || !found->second.retryAt)
            continue;
        auto& request = found->second;
        request.retryAt.reset();
        if (request.phase == Phase::Resolving)
            attempt(now, request, settleWork(WorkKind::Cancel, request.work, request.work.outcomeKey));
        else
            proceed(now, request);
    }
    for (const auto id : m_deadlines.takeExpired(now)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        auto& request = found->second;
        const bool hasEffect = request.phase == Phase::Executing && request.attemptOpen
            && (request.attemptWork.kind == WorkKind::Write || isOfTransaction(request.caller.action));
        request.mayHaveRun = request.mayHaveRun || hasEffect;
        closeAttempt(request);
        request.lastError
            = { ErrorCode::DeadlineExceeded, "execute", request.home.name.value(), "no answer within the time limit" };
        giveUp(now, request);
    }
}

void RequestCoordinator::gone(RequestId id)
{
    // What is under way goes on to its end; only the answer is not wanted any more.
    (void)id;
}

} // namespace Auburnpost
