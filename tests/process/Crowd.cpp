#include "process/Crowd.h"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <thread>

namespace Auburnpost::Test {

namespace {

    /// Small, so that answers that are not read stay in the server.
    constexpr int receiveBufferBytes = 4096;
    constexpr auto waitTime = std::chrono::milliseconds(2);

} // namespace

Crowd::Crowd(std::uint16_t port, std::size_t members, CrowdBehaviour behaviour)
    : m_behaviour(std::move(behaviour))
{
    for (std::size_t count = 0; count < members; ++count) {
        Member member;
        member.socket = LoopbackSocket::connectTo(port, receiveBufferBytes);
        member.isClosed = !member.socket.isOpen();
        if (!member.isClosed)
            member.socket.setNonBlocking();
        m_members.push_back(std::move(member));
    }
}

bool Crowd::step(Member& member)
{
    if (member.isClosed)
        return false;
    bool hasMoved = false;
    const auto& text = *m_behaviour.text;
    if (member.sentBytes < text.size()) {
        const auto bytes = std::min(m_behaviour.pieceBytes, text.size() - member.sentBytes);
        const auto count = send(member.socket.descriptor(), text.data() + member.sentBytes, bytes, MSG_NOSIGNAL);
        if (count > 0) {
            member.sentBytes += static_cast<std::size_t>(count);
            hasMoved = true;
        } else if (errno != EAGAIN) {
            member.isClosed = true;
        }
    }
    char buffer[65536];
    // A member that does not read still notices the end of its connection.
    const auto flags = m_behaviour.reads ? 0 : MSG_PEEK;
    const auto bytes = std::min(m_behaviour.pieceBytes, sizeof buffer);
    const auto count = recv(member.socket.descriptor(), buffer, bytes, flags);
    if (count == 0 || (count < 0 && errno != EAGAIN))
        member.isClosed = true;
    return hasMoved || (count > 0 && m_behaviour.reads);
}

void Crowd::runUntil(std::chrono::steady_clock::time_point end)
{
    while (std::chrono::steady_clock::now() < end) {
        bool hasMoved = false;
        for (auto& member : m_members)
            hasMoved = step(member) || hasMoved;
        if (m_behaviour.pause.count() > 0)
            std::this_thread::sleep_for(m_behaviour.pause);
        else if (!hasMoved)
            std::this_thread::sleep_for(waitTime);
    }
}

bool Crowd::hasSentAll() const
{
    return std::all_of(m_members.begin(), m_members.end(),
        [this](const Member& member) { return member.isClosed || member.sentBytes == m_behaviour.text->size(); });
}

} // namespace Auburnpost::Test
