#include "platform/TargetCodec.h"

#include "platform/FailureKeywords.h"
#include "platform/Fields.h"

#include <algorithm>

namespace Auburnpost::Platform {

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    /// Replaces a missing id or signature.
    constexpr std::string_view placeholder = "-";
    /// The client's name on connections that belong to no organisation.
    constexpr std::string_view proxyName = "auburnpost";

    std::string afterText(const std::optional<LogPoint>& requiredLogPoint)
    {
        return requiredLogPoint ? "AFTER " + writePosition(requiredLogPoint) + " " : std::string();
    }

    /// Encodes a request of each kind as an id and a statement.
    struct Writer {
        std::string id { placeholder };

        std::string operator()(const Proxy::ResetConnection&) { return "RESET"; }
        std::string operator()(const Proxy::SetValue& set) { return "SET " + set.name + " " + set.value; }
        std::string operator()(const Proxy::PrepareStatement& prepare)
        {
            const bool isRead = prepare.prepared.access == Session::Access::Read;
            return "PREPARE " + prepare.name + (isRead ? " READ " : " WRITE ") + prepare.prepared.shape;
        }
        std::string operator()(const Proxy::BeginTransaction& begin)
        {
            return afterText(begin.requiredLogPoint) + (begin.isReadOnly ? "BEGIN READ" : "BEGIN");
        }
        std::string operator()(const Proxy::RollbackTransaction&) { return "ROLLBACK"; }
        std::string operator()(const Proxy::QueryStatus&) { return "STATUS"; }
        std::string operator()(const Proxy::FenceReplica& fence)
        {
            return "PAUSE " + std::to_string(fence.term.value());
        }
        std::string operator()(const Proxy::ResumeReplica&) { return "RESUME"; }
        std::string operator()(const Proxy::DemotePrimary& demote)
        {
            return "DEMOTE " + std::to_string(demote.term.value());
        }
        std::string operator()(const Proxy::RunStatement& run)
        {
            id = run.id.value();
            if (run.preparedName.empty())
                return afterText(run.requiredLogPoint) + run.statement.text;
            return afterText(run.requiredLogPoint) + "EXECUTE " + run.preparedName + " " + run.statement.argument;
        }
    };

    bool requestsStatus(const Proxy::TargetRequest& request)
    {
        return std::holds_alternative<Proxy::QueryStatus>(request)
            || std::holds_alternative<Proxy::FenceReplica>(request)
            || std::holds_alternative<Proxy::ResumeReplica>(request)
            || std::holds_alternative<Proxy::DemotePrimary>(request);
    }

    Session::Failure readFailure(std::string_view rest)
    {
        const auto keyword = nextField(rest);
        return { failureCodeOf(keyword), std::string(rest) };
    }

    /// Reads "ROLE TERM RECEIVED FENCED LAG BUSY CONNECTIONS", where FENCED is the term at which the target is fenced.
    std::optional<Proxy::TargetStatus> readStatus(std::string_view row)
    {
        Proxy::TargetStatus status;
        const auto role = nextField(row);
        status.isPrimary = role == "primary";
        const auto term = readNumber(nextField(row));
        const auto received = readPosition(nextField(row));
        const auto fenced = readNumber(nextField(row));
        const auto lag = readNumber(nextField(row));
        const auto busy = readNumber(nextField(row));
        const auto connections = readNumber(nextField(row));
        if ((!status.isPrimary && role != "replica") || !term || !received || !fenced || !lag || !busy || !connections)
            return {};
        status.term = Term(*term);
        status.received = *received;
        status.fencedTerm = Term(*fenced);
        status.lag = std::chrono::milliseconds(*lag);
        status.busy = *busy;
        status.connections = *connections;
        return status;
    }

} // namespace

std::string TargetCodec::writeConnectionRequest(const Proxy::TargetRecord& target, const OrganisationName& organisation)
{
    // The field between the group and the target names the client.
    const auto client = organisation.value().empty() ? std::string(proxyName) : organisation.value();
    return "START " + target.group.value() + " " + client + " " + target.name.value() + std::string(lineEnd);
}

std::string TargetCodec::write(const std::vector<Proxy::TargetRequest>& requests)
{
    std::string text;
    for (const auto& request : requests) {
        Writer writer;
        const auto statement = std::visit(writer, request);
        text.append("QUERY ").append(writer.id).append(" ").append(statement).append(lineEnd);
        m_requestsStatus.push_back(requestsStatus(request));
    }
    return text;
}

TargetLine TargetCodec::read(std::string_view line)
{
    const auto keyword = nextField(line);
    if (!m_isOpen && keyword == "ERROR")
        return ConnectionRefused { readFailure(line).code };
    if (!m_isOpen && keyword == "READY") {
        // A new connection has no transaction.
        if (readState(nextField(line)) != Session::TransactionState::Idle)
            return ProtocolViolation {};
        m_isOpen = true;
        return ConnectionAccepted { readPosition(line) };
    }
    if (!m_isOpen || m_requestsStatus.empty())
        return ProtocolViolation {};
    if (keyword == "READY")
        return finish(line);
    if (m_hasOutcome)
        return ProtocolViolation {};
    if (keyword == "ROW") {
        m_success.rows.emplace_back(line);
        return IncompleteReply {};
    }
    if (keyword != "DONE" && keyword != "ERROR")
        return ProtocolViolation {};
    m_hasOutcome = true;
    if (keyword == "DONE")
        m_success.signature = line == placeholder ? std::string_view() : line;
    else
        m_failure = readFailure(line);
    return IncompleteReply {};
}

TargetLine TargetCodec::finish(std::string_view rest)
{
    const auto state = readState(nextField(rest));
    if (!state || !m_hasOutcome)
        return ProtocolViolation {};
    Proxy::TargetReply reply;
    reply.state = *state;
    reply.position = readPosition(rest);
    if (m_requestsStatus.front() && !m_failure && !m_success.rows.empty())
        reply.status = readStatus(m_success.rows.front());
    if (m_failure)
        reply.body = std::move(*m_failure);
    else
        reply.body = std::move(m_success);
    m_requestsStatus.pop_front();
    m_failure.reset();
    m_success = {};
    m_hasOutcome = false;
    return reply;
}

} // namespace Auburnpost::Platform
