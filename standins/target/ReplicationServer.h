#pragma once

#include "common/HttpServer.h"
#include "target/Target.h"

#include <list>

namespace Auburnpost::Standin {

/// Serves the log of a primary to its replicas over `POST /replicate` (long polling).
class ReplicationServer {
public:
    ReplicationServer(EventLoop&, Target&);

    /// Answers when the log has entries after the last entry of the replica, when the two logs differ, or when the
    /// maximum wait has passed.
    void handle(const HttpExchange&);
    /// @return the last applied log position that each replica reported.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& applied() const { return m_applied; }

private:
    struct Pull {
        std::string peer;
        DataCentreName dataCentre;
        /// Last entry that the replica has received; the answer starts with the next one.
        LogPoint after;
        /// Last entry that the replica has applied.
        LogPoint applied;
    };
    struct WaitingPull {
        std::uint64_t number;
        HttpExchange exchange;
        Pull pull;
    };

    static Pull readPull(const std::string& body);
    void answerReadyPulls();
    [[nodiscard]] bool isReady(const Pull&) const;
    void answer(const WaitingPull&);
    void expire(std::uint64_t number);
    [[nodiscard]] std::string makeAnswer(const Pull&) const;

    EventLoop& m_loop;
    Target& m_target;
    std::uint64_t m_lastNumber { 0 };
    std::list<WaitingPull> m_waiting;
    std::map<std::string, std::uint64_t> m_applied;
};

} // namespace Auburnpost::Standin
