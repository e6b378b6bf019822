#include "process/GroupTarget.h"

#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace Auburnpost::Test {

namespace {

    constexpr auto dropTime = std::chrono::seconds(3);
    constexpr auto linkPoll = std::chrono::milliseconds(5);
    constexpr auto statementTime = std::chrono::microseconds(500);

    std::uint16_t remotePortOf(const LoopbackSocket& socket)
    {
        sockaddr_in address {};
        socklen_t length = sizeof address;
        getpeername(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

    /// Errors of statements that have not run leave a transaction as it was.
    bool failsTransaction(const StatementError& error)
    {
        return error != "BUSY" && error != "LAGGING";
    }

} // namespace

struct GroupTarget::Connection {
    const LoopbackSocket& socket;
    SocketReader reader;
    std::uint16_t remotePort { 0 };
    std::string host {};
    char state { 'I' };
    bool isReadOnly { false };
    /// Of a plain transaction: the term in which it began.
    std::uint64_t term { 0 };
    std::vector<std::string> writes {};
};

GroupTarget::GroupTarget(DatabaseGroup& group, GroupTargetOptions options, FindHost findHost)
    : m_group(group)
    , m_options(std::move(options))
    , m_findHost(std::move(findHost))
{
    start();
}

void GroupTarget::start()
{
    m_isStopping = false;
    m_server = std::make_unique<ThreadServer>([this](const LoopbackSocket& socket) { serve(socket); }, m_port);
}

void GroupTarget::stop()
{
    m_isStopping = true;
    m_server.reset();
}

void GroupTarget::serve(const LoopbackSocket& socket)
{
    Connection connection { socket, SocketReader(socket), remotePortOf(socket) };
    ++m_connections;
    serveConnection(connection);
    --m_connections;
}

bool GroupTarget::awaitLink(Connection& connection, bool isIncoming)
{
    if (connection.host.empty())
        connection.host = m_findHost(connection.remotePort, m_port);
    const auto& from = isIncoming ? connection.host : m_options.name;
    const auto& to = isIncoming ? m_options.name : connection.host;
    const auto start = std::chrono::steady_clock::now();
    while (!m_isStopping && m_group.isCut(from, to))
        std::this_thread::sleep_for(linkPoll);
    return !m_isStopping && std::chrono::steady_clock::now() - start < dropTime;
}

std::string GroupTarget::ready(const Connection& connection) const
{
    return std::string("READY ") + connection.state + " " + m_group.applied(m_options.name).toString() + "\r\n";
}

void GroupTarget::serveConnection(Connection& connection)
{
    std::string line;
    if (!connection.reader.readLine(line) || !awaitLink(connection, true))
        return;
    std::istringstream words(line);
    std::string word;
    std::string group;
    std::string client;
    std::string name;
    words >> word >> group >> client >> name;
    if (group != m_options.group || (!name.empty() && name != m_options.name)) {
        (void)connection.socket.sendAll("ERROR MISROUTED " + m_options.name + "\r\n");
        return;
    }
    if (m_connections > m_options.connectionLimit) {
        (void)connection.socket.sendAll("ERROR TOOMANY all connections are in use\r\n");
        return;
    }
    if (!awaitLink(connection, false) || !connection.socket.sendAll(ready(connection)))
        return;
    while (connection.reader.readLine(line) && awaitLink(connection, true)) {
        if (!answer(connection, line))
            return;
    }
}

bool GroupTarget::answer(Connection& connection, const std::string& line)
{
    std::istringstream words(line);
    std::string word;
    std::string id;
    std::string text;
    words >> word >> id;
    std::getline(words >> std::ws, text);
    std::string rows;
    std::this_thread::sleep_for(statementTime);
    const auto error = run(connection, id, text, rows);
    if (error == DatabaseGroup::noAnswer)
        return false;
    if (!error.empty() && connection.state == 'T' && failsTransaction(error))
        connection.state = 'E';
    const auto outcome = error.empty() ? rows + "DONE " + (id == "-" ? "-" : "7." + id) + "\r\n"
                                       : "ERROR " + error + " " + m_options.name + "\r\n";
    return awaitLink(connection, false) && connection.socket.sendAll(outcome + ready(connection));
}

StatementError GroupTarget::begin(Connection& connection, bool isReadOnly, LogPosition requiredPosition)
{
    const auto status = m_group.status(m_options.name);
    if (!isReadOnly && !status.isPrimary)
        return "READONLY";
    if (m_group.applied(m_options.name) < requiredPosition)
        return "LAGGING";
    connection.state = 'T';
    connection.isReadOnly = isReadOnly;
    connection.term = isReadOnly ? 0 : status.term;
    connection.writes.clear();
    return {};
}

StatementError GroupTarget::commit(Connection& connection, const std::string& id)
{
    const auto writes = std::exchange(connection.writes, {});
    // The COMMIT of a transaction that wrote nothing succeeds also after the lead was lost.
    const auto error = writes.empty() ? m_group.read(m_options.name, id, {}, 0)
                                      : m_group.commit(m_options.name, id, writes, connection.term);
    connection.state = 'I';
    return error;
}

StatementError GroupTarget::run(
    Connection& connection, const std::string& id, const std::string& text, std::string& rows)
{
    std::istringstream words(text);
    std::string verb;
    std::string argument;
    LogPosition requiredPosition;
    words >> verb;
    if (verb == "AFTER") {
        words >> argument >> verb;
        requiredPosition = LogPosition::parse(argument);
    }
    argument.clear();
    words >> argument;
    if (verb == "ROLLBACK") {
        connection.state = 'I';
        return {};
    }
    if (m_group.isBusy(m_options.name))
        return "BUSY";
    if (connection.state == 'E')
        return "MALFORMED";
    const bool isFence = verb == "PAUSE" || verb == "DEMOTE";
    const auto term = isFence ? std::stoull(argument) : 0;
    if (verb == "PAUSE")
        m_group.fence(m_options.name, term);
    if (verb == "DEMOTE")
        m_group.demote(m_options.name, term);
    if (verb == "RESUME")
        m_group.resume(m_options.name);
    if (isFence || verb == "RESUME" || verb == "STATUS")
        rows = statusRow();
    if (verb == "BEGIN")
        return begin(connection, argument == "READ", requiredPosition);
    if (verb == "COMMIT")
        return commit(connection, id);
    if (verb == "READ") {
        rows = "ROW value\r\n";
        return m_group.read(m_options.name, id, requiredPosition, connection.state == 'T' ? connection.term : 0);
    }
    if (verb != "WRITE")
        return {};
    if (connection.state == 'I')
        return m_group.commit(m_options.name, id, { id }, 0);
    if (connection.isReadOnly)
        return "READONLY";
    connection.writes.push_back(id);
    return m_group.read(m_options.name, id, requiredPosition, connection.term);
}

std::string GroupTarget::statusRow() const
{
    const auto status = m_group.status(m_options.name);
    std::ostringstream row;
    row << "ROW " << (status.isPrimary ? "primary " : "replica ") << status.term << " " << status.received.toString()
        << " " << status.fencedTerm << " " << status.lag.count() << " 0 " << m_connections.load() << "\r\n";
    return row.str();
}

} // namespace Auburnpost::Test
