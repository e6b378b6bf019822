#include "process/LineTarget.h"

#include <sstream>
#include <utility>

namespace Auburnpost::Test {

LineTarget::LineTarget(std::string row, int connectionLimit, CommitBehaviour commits)
    : m_row(std::move(row))
    , m_connectionLimit(connectionLimit)
    , m_commits(commits)
{
}

void LineTarget::serve(const LoopbackSocket& connection)
{
    if (++m_connections > m_connectionLimit)
        (void)connection.sendAll("ERROR TOOMANY all connections are in use\r\n");
    else
        serveConnection(connection);
    --m_connections;
}

bool LineTarget::commit(const std::string& id, TrackedTransaction& transaction)
{
    std::this_thread::sleep_for(m_commits.time);
    // Steps of 37 spread the refused ones evenly over each hundred.
    if (++m_receivedCommits * 37 % 100 < m_commits.refusedOfHundred) {
        m_transactions.countRefusedCommit();
        return false;
    }
    transaction.run(id);
    transaction.end();
    return true;
}

void LineTarget::serveConnection(const LoopbackSocket& connection)
{
    const std::string largeRow = "ROW " + std::string(largeRowBytes, 'x') + "\r\n";
    SocketReader reader(connection);
    TrackedTransaction transaction(m_transactions);
    const auto ready = [this, &transaction] {
        return std::string("READY ") + transaction.state() + " 1." + std::to_string(m_position.load()) + "\r\n";
    };
    std::string line;
    if (!reader.readLine(line) || !connection.sendAll(ready()))
        return;
    while (reader.readLine(line)) {
        std::istringstream words(line.substr(0, 200));
        std::string word;
        std::string id;
        std::string verb;
        std::string item;
        words >> word >> id >> verb;
        if (verb == "AFTER")
            words >> word >> verb;
        words >> item;
        std::string answer;
        std::string outcome = "DONE -\r\n";
        if (verb == "READ" || verb == "WRITE")
            transaction.run(id);
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
            answer = "ROW primary 1 1." + std::to_string(m_position.load()) + " 0 0 0 "
                + std::to_string(m_connections.load()) + "\r\n";
        else if (verb == "BEGIN")
            transaction.begin();
        else if (verb == "ROLLBACK")
            transaction.end();
        else if (verb == "COMMIT" && !commit(id, transaction))
            outcome = "ERROR BUSY all slots are in use\r\n";
        else if (verb == "WRITE")
            ++m_position;
        else if (verb == "READ" && item != "large")
            answer = "ROW " + m_row + "\r\n";
        for (std::size_t row = 0; verb == "READ" && item == "large" && row < largeRows; ++row)
            answer += largeRow;
        if (!connection.sendAll(answer + outcome + ready()))
            return;
    }
}

} // namespace Auburnpost::Test
