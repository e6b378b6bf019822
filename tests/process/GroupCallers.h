#pragma once

#include "process/GroupHistory.h"
#include "process/GroupSite.h"

#include <atomic>
#include <list>
#include <random>
#include <thread>

namespace Auburnpost::Test {

/// Callers that read, write and run transactions at all hosts, on new and on open connections.
class GroupCallers {
public:
    /// The callers of the other hosts read nearly always: writes that nobody acknowledges show a host early that its
    /// primary is cut off.
    static constexpr std::size_t writingHosts = 2;

    GroupCallers(GroupSite&, std::uint64_t seed);
    ~GroupCallers();
    GroupCallers(const GroupCallers&) = delete;
    GroupCallers& operator=(const GroupCallers&) = delete;

    /// Ends all callers. @return all statements that they sent.
    std::vector<CallerStatement> stop();

private:
    struct Session;
    /// The callers of one host that share a thread.
    struct Caller {
        std::size_t host { 0 };
        std::size_t number { 0 };
        std::size_t sent { 0 };
        bool keepsConnections { false };
        unsigned writesOfHundred { 0 };
        std::size_t firstRoute { 0 };
        std::mt19937 random;
        std::vector<CallerStatement> statements;
        std::thread thread;
    };

    void run(Caller&);
    [[nodiscard]] std::unique_ptr<Session> open(const Caller&, RouteKind);
    void runOperation(Caller&, Session&);
    void runTransaction(Caller&, Session&);
    /// @return the text of a read or a write.
    [[nodiscard]] static std::string pickStatement(Caller&);
    /// Sends a statement and records it. @return whether it succeeded.
    bool runStatement(Caller&, Session&, const std::string& text);

    GroupSite& m_site;
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_sessions { 0 };
    std::list<Caller> m_callers;
};

} // namespace Auburnpost::Test
