#pragma once

#include "process/LoopbackSocket.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Auburnpost::Test {

/// How the members of a crowd send and read.
struct CrowdBehaviour {
    /// Sent by each member as far as the server takes it.
    std::shared_ptr<const std::string> text;
    /// Whether the members read what they receive.
    bool reads { true };
    /// Greatest number of bytes that a member sends or reads at a time.
    std::size_t pieceBytes { 65536 };
    /// Time between two pieces of one member.
    std::chrono::milliseconds pause { 0 };
};

/// A number of connections to one port that all do the same. One thread drives them.
class Crowd {
public:
    Crowd(std::uint16_t port, std::size_t members, CrowdBehaviour);

    /// Drives the connections until @p end, or until all is sent and answered by closing if that comes first.
    void runUntil(std::chrono::steady_clock::time_point end);
    void runFor(std::chrono::milliseconds time) { runUntil(std::chrono::steady_clock::now() + time); }
    /// @return whether each open member has sent its whole text.
    [[nodiscard]] bool hasSentAll() const;

private:
    struct Member {
        LoopbackSocket socket;
        std::size_t sentBytes { 0 };
        bool isClosed { false };
    };

    /// Sends and reads one piece. @return whether any byte was moved.
    bool step(Member&);

    CrowdBehaviour m_behaviour;
    std::vector<Member> m_members;
};

} // namespace Auburnpost::Test
