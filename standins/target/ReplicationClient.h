#pragma once

#include "common/EventLoop.h"
#include "target/Target.h"

#include <deque>
#include <memory>

struct evhttp_connection;
struct evhttp_request;

namespace Auburnpost::Standin {

/// Pulls the log of the followed primary and applies its entries after the replication lag.
class ReplicationClient {
public:
    ReplicationClient(EventLoop&, Target&);
    ReplicationClient(const ReplicationClient&) = delete;
    ReplicationClient& operator=(const ReplicationClient&) = delete;

private:
    struct ReceivedEntry {
        Instant at;
        LogEntry entry;
    };
    /// A connection to a primary. After disconnect() its client is null, and late answers are ignored.
    struct PrimaryConnection {
        ~PrimaryConnection();
        ReplicationClient* client { nullptr };
        evhttp_connection* connection { nullptr };
    };

    static void onAnswer(evhttp_request*, void* connectionArgument);

    /// Starts, continues or stops pulling according to the role and the active faults.
    void update();
    void pull();
    void disconnect();
    void handleAnswer(const std::string& body);
    /// Removes received and logged entries that the primary does not have.
    /// @param body answer of the primary, as JSON.
    void truncateToCommonPoint(const std::string& body);
    void connect();
    void applyDue();
    [[nodiscard]] bool canPull() const;
    [[nodiscard]] LogPoint lastReceived() const;
    [[nodiscard]] Duration lag() const;

    EventLoop& m_loop;
    Target& m_target;
    Timer m_pullTimer;
    Timer m_applyTimer;
    std::shared_ptr<PrimaryConnection> m_connection;
    TargetName m_primary;
    bool m_inFlight { false };
    /// Last received entry when the pull in flight was sent.
    LogPoint m_pullAfter;
    Term m_leaderTerm;
    /// Entries that wait for the replication lag.
    std::deque<ReceivedEntry> m_received;
};

} // namespace Auburnpost::Standin
