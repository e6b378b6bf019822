#include "process/LineCaller.h"

namespace Auburnpost::Test {

namespace {

    constexpr int answerTimeoutS = 2;
    constexpr std::string_view errorWord = "ERROR ";
    constexpr std::string_view rowWord = "ROW ";

    std::string codeOf(const std::string& line)
    {
        return line.substr(errorWord.size(), line.find(' ', errorWord.size()) - errorWord.size());
    }

} // namespace

LineCaller::LineCaller(std::uint16_t port, const std::string& database)
    : m_socket(LoopbackSocket::connectTo(port))
{
    if (!m_socket.isOpen())
        return;
    m_socket.setReceiveTimeout(answerTimeoutS);
    std::string line;
    if (!m_socket.sendAll("START " + database + " key\r\n") || !m_reader.readLine(line))
        return;
    m_isOpen = line.starts_with("READY ");
    if (line.starts_with(errorWord))
        m_error = codeOf(line);
}

LineCaller::Answer LineCaller::lose()
{
    m_isOpen = false;
    m_error = noAnswer;
    return { noAnswer, {} };
}

LineCaller::Answer LineCaller::read(const std::string& id)
{
    return send(id, "READ item") ? receive() : lose();
}

bool LineCaller::send(const std::string& id, const std::string& text)
{
    return m_socket.sendAll("QUERY " + id + " " + text + "\r\n");
}

LineCaller::Answer LineCaller::receive()
{
    Answer answer;
    std::string line;
    while (m_reader.readLine(line)) {
        if (line.starts_with("READY "))
            return answer;
        if (line.starts_with(errorWord))
            answer.error = codeOf(line);
        if (line.starts_with(rowWord))
            answer.row = line.substr(rowWord.size());
    }
    return lose();
}

} // namespace Auburnpost::Test
