#pragma once

#include "common/EventLoop.h"
#include "target/Target.h"

#include <deque>
#include <memory>

struct evhttp_connection;
struct evhttp_request;

namespace Auburnpost::Standin {

/// Pulls the log of the primary that a replica follows and applies it after the replication lag.
class ReplicationClient {
public:
    ReplicationClient(EventLoop&, Target&);
    ReplicationClient(const ReplicationClient&) = delete;
    ReplicationClient& operator=(const ReplicationClient&) = delete;

private:
    struct Received {
        Instant at;
        LogEntry entry;
    };
    /// One connection to a primary; an answer on an abandoned one finds no client.
    struct Link {
        ~Link();
        ReplicationClient* client { nullptr };
        evhttp_connection* connection { nullptr };
    };

    static void onAnswer(evhttp_request*, void* link);

    /// Starts, goes on with or abandons pulling, as role and faults say.
    void update();
    void pull();
    void abandon();
    void take(const std::string& body);
    /// Drops what the primary does not hold. @param json the primary's answer.
    void realign(const std::string& body);
    void connect();
    void applyDue();
    [[nodiscard]] bool canPull() const;
    [[nodiscard]] LogPoint lastReceived() const;
    [[nodiscard]] Duration lag() const;

    EventLoop& m_loop;
    Target& m_target;
    Timer m_pullTimer;
    Timer m_applyTimer;
    std::shared_ptr<Link> m_link;
    TargetName m_source;
    bool m_inFlight { false };
    /// The last entry held when the pull in flight was sent.
    LogPoint m_askedBehind;
    Term m_leader;
    std::deque<Received> m_received;
};

} // namespace Auburnpost::Standin
