// How the coordinator checks a request before its first attempt and answers it after the last.
#include "engine/OutcomeKeys.h"
#include "engine/RequestCoordinator.h"
#include "route/SessionCodec.h"
#include "route/StatementGuard.h"
#include "route/TransactionHandle.h"

#include <xxhash.h>

#include <algorithm>

namespace Auburnpost {

namespace {

    tl::unexpected<Error> refuse(ErrorCode code, std::string message)
    {
        return fail(code, "check request", "", std::move(message));
    }

    /// @return a hash that differs for different statements and parameters, also for a NULL and an empty parameter.
    std::string hashOf(const Statement& statement)
    {
        std::string text = statement.sql;
        for (const auto& parameter : statement.parameters) {
            text += parameter ? '\1' : '\0';
            text += std::to_string(parameter.value_or("").size()) + ":" + parameter.value_or("");
        }
        const auto hash = XXH3_128bits(text.data(), text.size());
        return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
    }

    HomeRequestKind kindOf(const CallerRequest& request)
    {
        switch (request.action) {
        case CallerAction::Begin:
            return HomeRequestKind::Begin;
        case CallerAction::ExecuteInTransaction:
            return HomeRequestKind::ExecuteInTransaction;
        case CallerAction::Commit:
            return HomeRequestKind::Commit;
        case CallerAction::Rollback:
            return HomeRequestKind::Rollback;
        case CallerAction::Execute:
            break;
        }
        return request.access == Access::Write ? HomeRequestKind::Write : HomeRequestKind::Read;
    }

} // namespace

RequestCoordinator::Check RequestCoordinator::checkOrganisation(const CallerRequest& request) const
{
    const auto* document = m_delegate.document();
    if (!document)
        return refuse(ErrorCode::NoConfiguration, "this host has no configuration yet");
    const auto* organisation = document->organisation(request.organisation);
    if (!organisation)
        return refuse(
            ErrorCode::UnknownOrganisation, "there is no organisation '" + request.organisation.value() + "'");
    if (request.key.empty() || !organisation->acceptsKey(request.key))
        return refuse(ErrorCode::Unauthorised, "the key is not one of the organisation's");
    return {};
}

RequestCoordinator::Check RequestCoordinator::checkDatabase(const CallerRequest& request) const
{
    const auto* document = m_delegate.document();
    if (!document->database(request.database))
        return refuse(ErrorCode::UnknownDatabase, "there is no database '" + request.database.value() + "'");
    if (!document->organisation(request.organisation)->databases.contains(request.database))
        return refuse(ErrorCode::Forbidden, "the organisation may not use the database");
    return {};
}

Expected<RequestCoordinator::Request> RequestCoordinator::prepare(Instant now, CallerRequest caller)
{
    if (auto check = checkOrganisation(caller); !check)
        return tl::unexpected(check.error());
    Request request { std::move(caller), {}, {}, {}, {}, {}, Phase::Executing, {}, false, {}, {}, {}, {},
        Limit::Backoff(m_settings.backoff), false, {} };
    if (!request.caller.session.empty()) {
        auto session = Route::readSession(m_signer, request.caller.organisation, request.caller.session);
        if (!session)
            return tl::unexpected(session.error());
        request.session = std::move(*session);
    }
    const bool belongsToTransaction = !request.caller.transaction.empty();
    auto homeRequest = belongsToTransaction ? makeTransactionRequest(request.caller)
                                            : makeHomeRequest(request.caller, request.session);
    if (!homeRequest)
        return tl::unexpected(homeRequest.error());
    request.homeRequest = std::move(*homeRequest);
    if (belongsToTransaction)
        request.home
            = { Route::readHandle(m_signer, request.caller.organisation, request.caller.transaction)->home, {}, {} };
    else if (request.homeRequest.kind == HomeRequestKind::Read) {
        const auto entry = request.session.entry(request.homeRequest.database);
        request.unresolved.assign(entry.unresolved.begin(), entry.unresolved.end());
    }
    const auto timeout = std::min(request.caller.timeout.value_or(m_settings.defaultTimeout), m_settings.maxTimeout);
    request.deadline = now + std::max(timeout - m_settings.answerMargin, timeout / 2);
    return request;
}

Expected<HomeRequest> RequestCoordinator::makeHomeRequest(
    const CallerRequest& caller, const Route::SessionToken& session)
{
    if (auto check = checkDatabase(caller); !check)
        return tl::unexpected(check.error());
    HomeRequest homeRequest;
    homeRequest.kind = kindOf(caller);
    homeRequest.organisation = caller.organisation;
    homeRequest.database = caller.database;
    homeRequest.access = caller.access;
    if (homeRequest.kind == HomeRequestKind::Begin)
        return homeRequest;
    if (auto check = Route::checkStatement(caller.statement.sql); !check)
        return tl::unexpected(check.error());
    homeRequest.statement = caller.statement;
    homeRequest.required = session.entry(caller.database).seen;
    if (homeRequest.kind == HomeRequestKind::Read) {
        homeRequest.maxAge
            = caller.maxAge.value_or(m_delegate.document()->staleness.maximumAge(caller.organisation, caller.database));
        return homeRequest;
    }
    homeRequest.requestHash = hashOf(caller.statement);
    if (!caller.idempotencyKey.empty())
        homeRequest.outcomeKey = OutcomeKeys::ofCaller(caller.organisation, caller.idempotencyKey);
    return homeRequest;
}

Expected<HomeRequest> RequestCoordinator::makeTransactionRequest(const CallerRequest& caller) const
{
    const auto handle = Route::readHandle(m_signer, caller.organisation, caller.transaction);
    if (!handle)
        return tl::unexpected(handle.error());
    HomeRequest homeRequest;
    homeRequest.kind = kindOf(caller);
    homeRequest.organisation = caller.organisation;
    homeRequest.database = handle->database;
    homeRequest.transaction = handle->number;
    homeRequest.homeIncarnation = handle->incarnation;
    homeRequest.outcomeKey = handle->outcomeKey();
    if (homeRequest.kind != HomeRequestKind::ExecuteInTransaction)
        return homeRequest;
    if (auto check = Route::checkStatement(caller.statement.sql); !check)
        return tl::unexpected(check.error());
    homeRequest.statement = caller.statement;
    return homeRequest;
}

void RequestCoordinator::answerSuccess(Request& request, HomeResult success)
{
    ++m_counters.done;
    const auto& database = request.homeRequest.database;
    if (success.durable)
        request.session.advance(database, *success.durable);
    request.session.resolve(database, request.homeRequest.outcomeKey);
    CallerAnswer answer;
    answer.servedBy = success.servedBy;
    answer.age = success.age;
    if (request.homeRequest.kind == HomeRequestKind::Read)
        ++(success.servedBy.ends_with("replica") ? m_counters.readsByReplica : m_counters.readsByPrimary);
    if (request.caller.action == CallerAction::Begin) {
        const Route::TransactionHandle handle { request.home.name, success.homeIncarnation, success.transaction,
            database };
        answer.body = TransactionBegun { Route::writeHandle(m_signer, request.caller.organisation, handle) };
    } else {
        answer.body = std::move(success.result);
    }
    finishRequest(request, std::move(answer));
}

void RequestCoordinator::answerRefusal(
    Request& request, FailedOutcome outcome, const Error& error, std::optional<Duration> retryAfter)
{
    ++(outcome == FailedOutcome::NotRun ? m_counters.notRun : m_counters.unknown);
    if (outcome == FailedOutcome::Unknown && !request.homeRequest.outcomeKey.value().empty())
        request.session.addUnresolved(request.homeRequest.database, request.homeRequest.outcomeKey);
    logRefusal(request.caller, error);
    CallerAnswer answer;
    answer.body = Refusal { outcome, error, retryAfter };
    finishRequest(request, std::move(answer));
}

void RequestCoordinator::logRefusal(const CallerRequest& request, const Error& error)
{
    m_delegate.actions().emplace_back(LogRecord { LogEvent::RequestRefused,
        { { "organisation", request.organisation.value() }, { "database", request.database.value() },
            { "error", error.describe() } } });
}

void RequestCoordinator::refuseBeforeAdmission(
    const CallerRequest& request, const Error& error, std::optional<Duration> retryAfter)
{
    ++m_counters.notRun;
    logRefusal(request, error);
    CallerAnswer answer;
    answer.id = request.id;
    answer.body = Refusal { FailedOutcome::NotRun, error, retryAfter };
    m_delegate.actions().emplace_back(std::move(answer));
}

void RequestCoordinator::finishRequest(Request& request, CallerAnswer answer)
{
    const auto id = request.caller.id;
    answer.id = id;
    answer.session = Route::writeSession(m_signer, request.caller.organisation, request.session);
    m_delegate.actions().emplace_back(std::move(answer));
    closeAttempt(request);
    m_organisations.recordFinished(request.caller.organisation);
    m_deadlines.remove(request.deadline, id);
    if (request.retryAt)
        m_retries.remove(*request.retryAt, id);
    m_requests.erase(id);
}

} // namespace Auburnpost
