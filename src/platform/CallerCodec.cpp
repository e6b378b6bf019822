#include "platform/CallerCodec.h"

#include "platform/FailureKeywords.h"
#include "platform/Fields.h"

#include <array>
#include <optional>

namespace Auburnpost::Platform {

using Session::Access;
using Session::Statement;
using Session::StatementKind;

namespace {

    constexpr std::string_view lineEnd = "\r\n";
    /// The id of the proxy's own statements, which callers may not use.
    constexpr std::string_view proxyStatementId = "-";
    /// Stands for the organisation in a forwarded request whose caller has none.
    constexpr std::string_view noOrganisation = "-";
    /// Starts a line between hosts that states the route of a forwarded session.
    constexpr std::string_view routeKeyword = "ROUTE";
    /// Starts a line between hosts that states a newer version of the configuration.
    constexpr std::string_view versionKeyword = "VERSION";

    /// Stores the arguments of a statement.
    /// @return whether they are well-formed.
    using Reader = bool (*)(std::string_view rest, Statement&);

    bool readNothing(std::string_view rest, Statement&)
    {
        return rest.empty();
    }

    bool readBegin(std::string_view rest, Statement& statement)
    {
        if (rest == "READ")
            statement.kind = StatementKind::BeginReadOnly;
        return rest.empty() || rest == "READ";
    }

    bool readItem(std::string_view rest, Statement&)
    {
        return !rest.empty() && rest.find(' ') == std::string_view::npos;
    }

    bool readItemAndData(std::string_view rest, Statement&)
    {
        const auto item = nextField(rest);
        return !item.empty() && !rest.empty();
    }

    bool readName(std::string_view rest, Statement& statement)
    {
        statement.name = rest;
        return readItem(rest, statement);
    }

    bool readNameAndArgument(std::string_view rest, Statement& statement)
    {
        statement.name = nextField(rest);
        statement.argument = rest;
        return !statement.name.empty() && !rest.empty();
    }

    bool readPrepare(std::string_view rest, Statement& statement)
    {
        statement.name = nextField(rest);
        const auto access = nextField(rest);
        statement.prepared = { access == "WRITE" ? Access::Write : Access::Read, std::string(rest) };
        return !statement.name.empty() && (access == "READ" || access == "WRITE") && !rest.empty();
    }

    struct Verb {
        std::string_view keyword;
        StatementKind kind;
        Reader read;
    };

    constexpr std::array<Verb, 9> verbs { {
        { "BEGIN", StatementKind::Begin, readBegin },
        { "COMMIT", StatementKind::Commit, readNothing },
        { "ROLLBACK", StatementKind::Rollback, readNothing },
        { "READ", StatementKind::Read, readItem },
        { "WRITE", StatementKind::Write, readItemAndData },
        { "SET", StatementKind::SetValue, readNameAndArgument },
        { "PREPARE", StatementKind::Prepare, readPrepare },
        { "EXECUTE", StatementKind::Execute, readNameAndArgument },
        { "FORGET", StatementKind::Forget, readName },
    } };

    std::optional<Statement> readStatement(std::string_view text)
    {
        auto rest = text;
        const auto keyword = nextField(rest);
        for (const auto& verb : verbs) {
            if (verb.keyword != keyword)
                continue;
            Statement statement;
            statement.kind = verb.kind;
            statement.text = text;
            if (!verb.read(rest, statement))
                return {};
            return statement;
        }
        return {};
    }

    MalformedLine malformed(const char* text)
    {
        return { { Session::FailureCode::Malformed, text } };
    }

    std::optional<Proxy::RouteDigest> readDigest(std::string_view text)
    {
        const auto number = readNumber(text);
        return number ? std::optional(Proxy::RouteDigest(*number)) : std::nullopt;
    }

    char letterOf(Session::TransactionState state)
    {
        constexpr std::string_view letters = "ITE";
        return letters[static_cast<std::size_t>(state)];
    }

} // namespace

CallerLine readCallerLine(std::string_view line)
{
    if (hasControlCharacter(line))
        return malformed("control characters in the line");
    const auto keyword = nextField(line);
    if (keyword == "BYE")
        return EndSession {};
    if (keyword == "START") {
        const auto database = nextField(line);
        if (database.empty())
            return malformed("the database is missing");
        OpenSession open { DatabaseName(std::string(database)), std::string(nextField(line)), {} };
        open.version = ConfigVersion(readNumber(nextField(line)).value_or(0));
        open.forwardedBy = HostName(std::string(nextField(line)));
        open.routeDigest = readDigest(nextField(line));
        return open;
    }
    if (keyword != "QUERY")
        return malformed("unknown message");
    const auto id = nextField(line);
    const auto statement = readStatement(line);
    if (id.empty() || id == proxyStatementId || !statement)
        return malformed("the statement can't be read");
    return SendStatement { Session::StatementId(std::string(id)), *statement };
}

std::string writeFailure(const Session::Failure& failure)
{
    return "ERROR " + std::string(keywordOf(failure.code)) + " " + failure.text + std::string(lineEnd);
}

std::string writeSessionAccepted()
{
    return "READY I -" + std::string(lineEnd);
}

Proxy::SessionRequest sessionRequestOf(const OpenSession& open, bool isForwarded)
{
    Proxy::SessionRequest request;
    request.database = open.database;
    request.isForwarded = isForwarded;
    if (isForwarded) {
        if (open.credential != noOrganisation)
            request.organisation = OrganisationName(open.credential);
        request.route = { open.version, open.routeDigest };
        request.forwardedBy = open.forwardedBy;
    } else if (!open.credential.empty()) {
        request.key = Config::KeyDigest::of(open.credential);
    }
    return request;
}

std::string writeSessionRequest(const Proxy::SessionRequest& request)
{
    auto line = "START " + request.database.value();
    const auto& host = request.forwardedBy.value();
    if (request.route.version != ConfigVersion {} || !host.empty()) {
        const auto& organisation = request.organisation.value();
        line.append(" ").append(organisation.empty() ? noOrganisation : organisation);
        line.append(" ").append(std::to_string(request.route.version.value()));
    }
    if (!host.empty()) {
        line.append(" ").append(host);
        if (request.route.digest)
            line.append(" ").append(std::to_string(request.route.digest->value()));
    }
    return line.append(lineEnd);
}

std::string writeStatedRoute(const Proxy::StatedRoute& route)
{
    auto line = std::string(routeKeyword) + " " + std::to_string(route.version.value());
    if (route.digest)
        line.append(" ").append(std::to_string(route.digest->value()));
    return line.append(lineEnd);
}

std::optional<Proxy::StatedRoute> readStatedRoute(std::string_view line)
{
    if (nextField(line) != routeKeyword)
        return {};
    const auto version = readNumber(nextField(line));
    if (!version)
        return {};
    return Proxy::StatedRoute { ConfigVersion(*version), readDigest(nextField(line)) };
}

std::string writeStatedVersion(ConfigVersion version)
{
    return std::string(versionKeyword) + " " + std::to_string(version.value()) + std::string(lineEnd);
}

std::optional<ConfigVersion> readStatedVersion(std::string_view line)
{
    if (nextField(line) != versionKeyword)
        return {};
    const auto version = readNumber(line);
    return version ? std::optional(ConfigVersion(*version)) : std::nullopt;
}

std::optional<Session::TransactionState> readAnswerEnd(std::string_view line)
{
    if (nextField(line) != "READY")
        return {};
    return readState(nextField(line));
}

std::optional<std::string_view> readFailure(std::string_view line)
{
    if (nextField(line) != "ERROR")
        return {};
    return line;
}

std::string statementIdOf(std::string_view line)
{
    if (nextField(line) != "QUERY")
        return std::string(proxyStatementId);
    return std::string(nextField(line));
}

std::string writeAnswer(const Session::Answer& answer)
{
    std::string text;
    if (const auto* const failure = std::get_if<Session::Failure>(&answer.body)) {
        text = writeFailure(*failure);
    } else {
        const auto& success = std::get<Session::Success>(answer.body);
        for (const auto& row : success.rows)
            text.append("ROW ").append(row).append(lineEnd);
        text.append("DONE ").append(success.signature.empty() ? "-" : success.signature).append(lineEnd);
    }
    text.append("READY ").append(1, letterOf(answer.state)).append(" ");
    return text.append(writePosition(answer.position)).append(lineEnd);
}

} // namespace Auburnpost::Platform
