#pragma once

#include "common/HttpServer.h"
#include "target/Target.h"

#include <list>

namespace Auburnpost::Standin {

/// Gives a primary's log to the replicas that ask for it, over `POST /replicate`.
class ReplicationServer {
public:
    ReplicationServer(EventLoop&, Target&);

    /// Answers as soon as there is an entry behind the asker's last one, or after a limited wait.
    void handle(const HttpExchange&);
    /// @return the last log position that each replica has applied, as it said itself.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& applied() const { return m_applied; }

private:
    struct Pull {
        std::string peer;
        DataCentreName dataCentre;
        LogPoint after;
        LogPoint applied;
    };
    struct Waiting {
        std::uint64_t number;
        HttpExchange exchange;
        Pull pull;
    };

    static Pull readPull(const std::string& body);
    void answerReady();
    [[nodiscard]] bool ready(const Pull&) const;
    void answer(const Waiting&);
    void expire(std::uint64_t number);
    [[nodiscard]] std::string makeAnswer(const Pull&) const;

    EventLoop& m_loop;
    Target& m_target;
    std::uint64_t m_lastNumber { 0 };
    std::list<Waiting> m_waiting;
    std::map<std::string, std::uint64_t> m_applied;
};

} // namespace Auburnpost::Standin
