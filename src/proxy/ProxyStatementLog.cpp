#include "proxy/Proxy.h"

namespace Auburnpost::Proxy {

namespace {

    std::string positionText(const std::optional<LogPoint>& point)
    {
        if (!point)
            return "-";
        return std::to_string(point->term.value()) + "." + std::to_string(point->position.value());
    }

} // namespace

void Proxy::appendConfigurationAge(std::vector<LogField>& fields) const
{
    if (m_catalog)
        fields.push_back({ "known_ms", std::to_string(toMilliseconds(m_now - m_catalogAppliedAt)) });
    const auto& follower = m_followers[static_cast<std::size_t>(StoreTable::Configuration)];
    const auto confirmedAt = follower.origin().confirmedAt;
    const auto callSentAt = follower.earliestCallSentAt();
    fields.push_back({ "confirmed_ms", confirmedAt ? std::to_string(toMilliseconds(m_now - *confirmedAt)) : "-" });
    fields.push_back({ "as_of", toString(follower.state().asOf) });
    fields.push_back({ "failures", std::to_string(follower.calls().failures) });
    fields.push_back({ "call_ms", callSentAt ? std::to_string(toMilliseconds(m_now - *callSentAt)) : "-" });
    const auto agreedAge = versionAge(m_now);
    fields.push_back({ "agreed_ms", agreedAge ? std::to_string(toMilliseconds(*agreedAge)) : "-" });
}

void Proxy::appendConfigurationAge(std::vector<LogField>& fields, const CallerSession& session) const
{
    appendConfigurationAge(fields);
    if (!session.forwardedBy.value().empty())
        fields.push_back({ "forwarded_by", session.forwardedBy.value() });
}

void Proxy::refuse(CallerSession& session, const Session::Failure& failure, Session::TransactionState state)
{
    std::vector<LogField> fields { { "id", session.statementId.value().empty() ? "-" : session.statementId.value() },
        { "session", std::to_string(session.id.value()) }, { "database", session.database.value() },
        { "outcome", std::string(Session::toString(failure.code)) }, { "target", "-" }, { "attempts", "0" } };
    if (!session.organisation.value().empty())
        fields.push_back({ "organisation", session.organisation.value() });
    fields.push_back({ "version", std::to_string(session.routedBy.value()) });
    appendConfigurationAge(fields, session);
    fields.push_back({ "reason", failure.text });
    log({ LogEvent::StatementFailed, std::move(fields) });
    session.state.setTransaction(state);
    sendAnswer(session, { failure, state, {} });
}

void Proxy::logStatement(const CallerSession& session, const StatementResult& result, Duration elapsed)
{
    const auto* const failure = std::get_if<Session::Failure>(&result.answer.body);
    const std::chrono::duration<double, std::milli> milliseconds = elapsed;
    const auto outcome = failure ? std::string(Session::toString(failure->code)) : "done";
    m_delegate.measure("statement_" + outcome + "_ms", milliseconds.count());
    std::vector<LogField> fields { { "id", session.statementId.value() },
        { "session", std::to_string(session.id.value()) }, { "database", session.database.value() },
        { "group", session.group.value() }, { "outcome", outcome },
        { "target", result.target.value().empty() ? "-" : result.target.value() },
        { "after", positionText(result.requiredLogPoint) }, { "attempts", std::to_string(result.attempts) },
        { "waited_for", std::string(toString(result.waitReason)) }, { "ms", std::to_string(toMilliseconds(elapsed)) } };
    if (const auto* const group = findGroup(session.group)) {
        const auto confirmedAt = group->watcher().confirmations().newestRequestedAt();
        fields.push_back({ "term", std::to_string(group->watcher().primaryTerm().value()) });
        fields.push_back({ "proof_age_ms", confirmedAt ? std::to_string(toMilliseconds(m_now - *confirmedAt)) : "-" });
    }
    if (const auto& evidence = result.primaryEvidence) {
        const auto& after = evidence->confirmedAfter;
        fields.push_back({ "confirmed_after_ms", after ? std::to_string(toMilliseconds(*after)) : "-" });
        fields.push_back({ "confirmed_by", evidence->source ? std::string(toString(*evidence->source)) : "-" });
    }
    if (!session.organisation.value().empty())
        fields.push_back({ "organisation", session.organisation.value() });
    fields.push_back({ "version", std::to_string(session.routedBy.value()) });
    if (failure) {
        appendConfigurationAge(fields, session);
        fields.push_back({ "reason", failure->text });
    } else if (!session.forwardedBy.value().empty()) {
        fields.push_back({ "forwarded_by", session.forwardedBy.value() });
    }
    const bool isUnknown = failure && failure->code == Session::FailureCode::InDoubt;
    log({ isUnknown   ? LogEvent::OutcomeUnknown
            : failure ? LogEvent::StatementFailed
                      : LogEvent::StatementServed,
        std::move(fields) });
}

} // namespace Auburnpost::Proxy
