#include "platform/TargetCodec.h"

#include "platform/FailureWords.h"
#include "platform/Fields.h"

#include <algorithm>

namespace Auburnpost::Platform {

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view ownId = "-";

    std::string afterText(const std::optional<LogPoint>& after)
    {
        return after ? "AFTER " + writePosition(after) + " " : std::string();
    }

    /// Writes each kind of request: its id and its text.
    struct Writer {
        std::string id { ownId };

        std::string operator()(const Proxy::ResetConnection&) { return "RESET"; }
        std::string operator()(const Proxy::SetValue& set) { return "SET " + set.name + " " + set.value; }
        std::string operator()(const Proxy::PrepareStatement& prepare)
        {
            const bool reads = prepare.prepared.access == Session::Access::Read;
            return "PREPARE " + prepare.name + (reads ? " READ " : " WRITE ") + prepare.prepared.shape;
        }
        std::string operator()(const Proxy::BeginTransaction& begin)
        {
            return afterText(begin.after) + (begin.isReadOnly ? "BEGIN READ" : "BEGIN");
        }
        std::string operator()(const Proxy::RollbackTransaction&) { return "ROLLBACK"; }
        std::string operator()(const Proxy::AskStanding&) { return "STATUS"; }
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
                return afterText(run.after) + run.statement.text;
            return afterText(run.after) + "EXECUTE " + run.preparedName + " " + run.statement.argument;
        }
    };

    bool asksStanding(const Proxy::TargetRequest& request)
    {
        return std::holds_alternative<Proxy::AskStanding>(request)
            || std::holds_alternative<Proxy::FenceReplica>(request)
            || std::holds_alternative<Proxy::ResumeReplica>(request)
            || std::holds_alternative<Proxy::DemotePrimary>(request);
    }

    Session::Failure readFailure(std::string_view rest)
    {
        const auto word = takeField(rest);
        return { failureCodeOf(word), std::string(rest) };
    }

    /// Reads "ROLE TERM RECEIVED HELD LAG BUSY CONNECTIONS", where HELD is the term at which the target is fenced.
    std::optional<Proxy::TargetStanding> readStanding(std::string_view row)
    {
        Proxy::TargetStanding standing;
        const auto role = takeField(row);
        standing.isPrimary = role == "primary";
        const auto term = readNumber(takeField(row));
        const auto received = readPosition(takeField(row));
        const auto held = readNumber(takeField(row));
        const auto lag = readNumber(takeField(row));
        const auto busy = readNumber(takeField(row));
        const auto connections = readNumber(takeField(row));
        if ((!standing.isPrimary && role != "replica") || !term || !received || !held || !lag || !busy || !connections)
            return {};
        standing.term = Term(*term);
        standing.received = *received;
        standing.fencedTerm = Term(*held);
        standing.lag = std::chrono::milliseconds(*lag);
        standing.busy = *busy;
        standing.connections = *connections;
        return standing;
    }

} // namespace

std::string TargetCodec::writeOpening(const Proxy::TargetRecord& target)
{
    // The name of the connecting side is free.
    return "START " + target.group.value() + " auburnpost " + target.name.value() + std::string(lineEnd);
}

std::string TargetCodec::write(const std::vector<Proxy::TargetRequest>& requests)
{
    std::string text;
    for (const auto& request : requests) {
        Writer writer;
        const auto statement = std::visit(writer, request);
        text.append("QUERY ").append(writer.id).append(" ").append(statement).append(lineEnd);
        m_asksStanding.push_back(asksStanding(request));
    }
    return text;
}

TargetLine TargetCodec::read(std::string_view line)
{
    const auto word = takeField(line);
    if (!m_isOpen && word == "ERROR")
        return ConnectionRefusal { readFailure(line).code };
    if (!m_isOpen && word == "READY") {
        m_isOpen = true;
        (void)takeField(line);
        return ConnectionAccepted { readPosition(line) };
    }
    if (!m_isOpen || m_asksStanding.empty())
        return ProtocolBroken {};
    if (word == "READY")
        return finish(line);
    if (m_hasOutcome)
        return ProtocolBroken {};
    if (word == "ROW") {
        m_success.rows.emplace_back(line);
        return ReplyContinues {};
    }
    if (word != "DONE" && word != "ERROR")
        return ProtocolBroken {};
    m_hasOutcome = true;
    if (word == "DONE")
        m_success.signature = line == ownId ? std::string_view() : line;
    else
        m_failure = readFailure(line);
    return ReplyContinues {};
}

TargetLine TargetCodec::finish(std::string_view rest)
{
    const auto state = readState(takeField(rest));
    if (!state || !m_hasOutcome)
        return ProtocolBroken {};
    Proxy::TargetReply reply;
    reply.state = *state;
    reply.position = readPosition(rest);
    if (m_asksStanding.front() && !m_failure && !m_success.rows.empty())
        reply.standing = readStanding(m_success.rows.front());
    if (m_failure)
        reply.body = std::move(*m_failure);
    else
        reply.body = std::move(m_success);
    m_asksStanding.pop_front();
    m_failure.reset();
    m_success = {};
    m_hasOutcome = false;
    return reply;
}

} // namespace Auburnpost::Platform
