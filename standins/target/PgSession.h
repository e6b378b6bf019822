#pragma once

#include "target/Executor.h"
#include "target/PgWriter.h"

#include <map>
#include <optional>

namespace Auburnpost::Standin {

/// Handles the messages of a connection after its startup: prepared statements, portals, pipelines and answers.
class PgSession {
public:
    /// @param send sends bytes to the client; isWhole is true when they end with ReadyForQuery.
    /// @param close closes the connection.
    PgSession(
        std::shared_ptr<Executor>, std::function<void(std::string, bool isWhole)> send, std::function<void()> close);

    /// Sends AuthenticationOk, the server parameters, the backend key and ReadyForQuery.
    void sendStartupMessages(std::uint32_t process);
    /// Handles one message. Must not be called while isBusy().
    void handle(char type, std::string_view body);
    /// @return whether a statement is still running.
    [[nodiscard]] bool isBusy() const { return m_busy; }
    /// Sets a function that is called each time a running statement has ended.
    void setOnIdle(std::function<void()> onIdle) { m_onIdle = std::move(onIdle); }
    /// Rolls back the transaction of a closed connection.
    void abandon();

private:
    struct PreparedStatement {
        std::string sql;
        std::vector<std::uint32_t> types;
    };
    /// Whether an answer starts with a row description. A result without columns gets NoData for Portal, and nothing
    /// for SimpleQuery.
    enum class Describe : std::uint8_t {
        No,
        Portal,
        SimpleQuery,
    };
    struct Portal {
        SqlCommand command;
        bool describe { false };
    };
    using Handler = void (PgSession::*)(std::string_view);

    void onParse(std::string_view);
    void onBind(std::string_view);
    void onDescribe(std::string_view);
    void onExecute(std::string_view);
    void onClose(std::string_view);
    void onSync(std::string_view);
    void onFlush(std::string_view);
    void onQuery(std::string_view);
    void onTerminate(std::string_view);

    Portal* findPortal(const std::string& name);
    const PreparedStatement* findStatement(const std::string& name);
    void describeStatement(const PreparedStatement&);
    void describeColumns(const std::string& sql);
    void sendResult(const SqlExpected<QueryResult>&, Describe);
    /// Sends an error and ignores further messages of the extended protocol until the next Sync.
    void failAndSkipToSync(const SqlError&);
    void runNextQuery();
    void finishBatch();
    void sendReady();
    /// Reports the changed parameters of the target status: term, position, fenced term and role.
    void reportTargetStatus();
    void notifyIdle();

    std::shared_ptr<Executor> m_executor;
    std::function<void(std::string, bool)> m_send;
    std::function<void()> m_close;
    std::function<void()> m_onIdle;
    PgWriter m_writer;
    std::map<std::string, PreparedStatement> m_statements;
    std::map<std::string, Portal> m_portals;
    std::map<std::string, std::string> m_reportedStatus;
    /// Statements of a simple query that have not run, in reverse order.
    std::vector<std::string> m_queries;
    bool m_busy { false };
    bool m_skipToSync { false };
};

} // namespace Auburnpost::Standin
