// What the coordinator does with a request before its first attempt and after its last.
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

    /// Tells one statement with its parameters from another.
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

    WorkKind kindOf(const CallerRequest& request)
    {
        switch (request.action) {
        case CallerAction::Begin:
            return WorkKind::Begin;
        case CallerAction::ExecuteInTransaction:
            return WorkKind::ExecuteInTransaction;
        case CallerAction::Commit:
            return WorkKind::Commit;
        case CallerAction::Rollback:
            return WorkKind::Rollback;
        case CallerAction::Execute:
            break;
        }
        return request.access == Access::Write ? WorkKind::Write : WorkKind::Read;
    }

} // namespace

RequestCoordinator::Check RequestCoordinator::checkOrganisation(const CallerRequest& request) const
{
    const auto* document = m_owner.document();
    if (!document)
        return refuse(ErrorCode::NoConfiguration, "this host has no configuration yet");
    const auto* organisation = document->organisation(request.organisation);
    if (!organisation)
        return refuse(
            ErrorCode::UnknownOrganisation, "there is no organisation '" + request.organisation.value() + "'");
    if (request.key.empty() || !organisation->admits(request.key))
        return refuse(ErrorCode::Unauthorised, "the key is not one of the organisation's");
    return {};
}

RequestCoordinator::Check RequestCoordinator::checkDatabase(const CallerRequest& request) const
{
    const auto* document = m_owner.document();
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
    const bool ofTransaction = !request.caller.transaction.empty();
    auto work = ofTransaction ? makeTransactionWork(request.caller) : makeWork(request.caller, request.session);
    if (!work)
        return tl::unexpected(work.error());
    request.work = std::move(*work);
    if (ofTransaction)
        request.home
            = { Route::readHandle(m_signer, request.caller.organisation, request.caller.transaction)->home, {}, {} };
    else if (request.work.kind == WorkKind::Read) {
        const auto entry = request.session.entry(request.work.database);
        request.unsettled.assign(entry.unsettled.begin(), entry.unsettled.end());
    }
    const auto timeout = std::min(request.caller.timeout.value_or(m_settings.defaultTimeout), m_settings.maxTimeout);
    request.deadline = now + std::max(timeout - m_settings.answerMargin, timeout / 2);
    return request;
}

Expected<Work> RequestCoordinator::makeWork(const CallerRequest& caller, const Route::SessionToken& session)
{
    if (auto check = checkDatabase(caller); !check)
        return tl::unexpected(check.error());
    Work work;
    work.kind = kindOf(caller);
    work.organisation = caller.organisation;
    work.database = caller.database;
    work.access = caller.access;
    if (work.kind == WorkKind::Begin)
        return work;
    if (auto check = Route::checkStatement(caller.statement.sql); !check)
        return tl::unexpected(check.error());
    work.statement = caller.statement;
    work.required = session.entry(caller.database).seen;
    if (work.kind == WorkKind::Read) {
        work.maxAge
            = caller.maxAge.value_or(m_owner.document()->staleness.allowance(caller.organisation, caller.database));
        return work;
    }
    work.requestHash = hashOf(caller.statement);
    if (!caller.idempotencyKey.empty())
        work.outcomeKey = OutcomeKeys::ofCaller(caller.organisation, caller.idempotencyKey);
    return work;
}

Expected<Work> RequestCoordinator::makeTransactionWork(const CallerRequest& caller) const
{
    const auto handle = Route::readHandle(m_signer, caller.organisation, caller.transaction);
    if (!handle)
        return tl::unexpected(handle.error());
    Work work;
    work.kind = kindOf(caller);
    work.organisation = caller.organisation;
    work.database = handle->database;
    work.transaction = handle->number;
    work.homeIncarnation = handle->incarnation;
    work.outcomeKey = handle->outcomeKey();
    if (work.kind != WorkKind::ExecuteInTransaction)
        return work;
    if (auto check = Route::checkStatement(caller.statement.sql); !check)
        return tl::unexpected(check.error());
    work.statement = caller.statement;
    return work;
}

void RequestCoordinator::answerDone(Request& request, WorkDone done)
{
    ++m_counters.done;
    const auto& database = request.work.database;
    if (done.durable)
        request.session.advance(database, *done.durable);
    request.session.settle(database, request.work.outcomeKey);
    CallerAnswer answer;
    answer.servedBy = done.servedBy;
    answer.age = done.age;
    if (request.work.kind == WorkKind::Read)
        ++(done.servedBy.ends_with("replica") ? m_counters.readsByReplica : m_counters.readsByPrimary);
    if (request.caller.action == CallerAction::Begin) {
        const Route::TransactionHandle handle { request.home.name, done.homeIncarnation, done.transaction, database };
        answer.body = TransactionBegun { Route::writeHandle(m_signer, request.caller.organisation, handle) };
    } else {
        answer.body = std::move(done.result);
    }
    finish(request, std::move(answer));
}

void RequestCoordinator::answerRefusal(
    Request& request, FailedOutcome outcome, const Error& error, std::optional<Duration> retryAfter)
{
    ++(outcome == FailedOutcome::NotRun ? m_counters.notRun : m_counters.unknown);
    if (outcome == FailedOutcome::Unknown && !request.work.outcomeKey.value().empty())
        request.session.addUnsettled(request.work.database, request.work.outcomeKey);
    logRefusal(request.caller, error);
    CallerAnswer answer;
    answer.body = Refusal { outcome, error, retryAfter };
    finish(request, std::move(answer));
}

void RequestCoordinator::logRefusal(const CallerRequest& request, const Error& error)
{
    m_owner.actions().emplace_back(LogRecord { LogEvent::RequestRefused,
        { { "organisation", request.organisation.value() }, { "database", request.database.value() },
            { "error", error.describe() } } });
}

void RequestCoordinator::refuseAtOnce(
    const CallerRequest& request, const Error& error, std::optional<Duration> retryAfter)
{
    ++m_counters.notRun;
    logRefusal(request, error);
    CallerAnswer answer;
    answer.id = request.id;
    answer.body = Refusal { FailedOutcome::NotRun, error, retryAfter };
    m_owner.actions().emplace_back(std::move(answer));
}

void RequestCoordinator::finish(Request& request, CallerAnswer answer)
{
    const auto id = request.caller.id;
    answer.id = id;
    answer.session = Route::writeSession(m_signer, request.caller.organisation, request.session);
    m_owner.actions().emplace_back(std::move(answer));
    closeAttempt(request);
    m_organisations.finished(request.caller.organisation);
    m_deadlines.remove(request.deadline, id);
    if (request.retryAt)
        m_retries.remove(*request.retryAt, id);
    m_requests.erase(id);
}

} // namespace Auburnpost
