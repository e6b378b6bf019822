#include "process/LineTarget.h"

#include <sstream>
#include <utility>

namespace Auburnpost::Test {

LineTarget::LineTarget(std::string row, int connectionLimit)
    : m_row(std::move(row))
    , m_connectionLimit(connectionLimit)
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

void LineTarget::serveConnection(const LoopbackSocket& connection)
{
    const std::string largeRow = "ROW " + std::string(largeRowBytes, 'x') + "\r\n";
    SocketReader reader(connection);
    char state = 'I';
    const auto ready
        = [this, &state] { return std::string("READY ") + state + " 1." + std::to_string(m_position.load()) + "\r\n"; };
    std::string line;
    if (!reader.readLine(line) || !connection.sendAll(ready()))
        return;
    while (reader.readLine(line)) {
        std::istringstream words(line.substr(0, 200));
        std::string word;
        std::string verb;
        std::string item;
        words >> word >> word >> verb;
        if (verb == "AFTER")
            words >> word >> verb;
        words >> item;
        std::string answer;
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
            answer = "ROW primary 1 1." + std::to_string(m_position.load()) + " 0 0 0 "
                + std::to_string(m_connections.load()) + "\r\n";
        else if (verb == "BEGIN")
            state = 'T';
        else if (verb == "COMMIT" || verb == "ROLLBACK" || verb == "RESET")
            state = 'I';
        else if (verb == "WRITE")
            ++m_position;
        else if (verb == "READ" && item != "large")
            answer = "ROW " + m_row + "\r\n";
        for (std::size_t row = 0; verb == "READ" && item == "large" && row < largeRows; ++row)
            answer += largeRow;
        if (!connection.sendAll(answer + "DONE -\r\n" + ready()))
            return;
    }
}

} // namespace Auburnpost::Test
