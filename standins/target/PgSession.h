#pragma once

#include "target/Executor.h"
#include "target/PgWriter.h"

#include <map>
#include <optional>

namespace Auburnpost::Standin {

/// The messages of one connection after its start: portals, pipelines and answers.
class PgSession {
public:
    /// @param send takes the bytes of an answer. @param close ends the connection.
    PgSession(
        std::shared_ptr<Executor>, std::function<void(std::string, bool isWhole)> send, std::function<void()> close);

    /// Sends what a connection is told at its start.
    void greet(std::uint32_t process);
    /// Takes one message. It must not be called while busy().
    void handle(char type, std::string_view body);
    /// @return whether a statement is still running.
    [[nodiscard]] bool busy() const { return m_busy; }
    /// Called when a running statement has ended.
    void setResume(std::function<void()> resume) { m_resume = std::move(resume); }
    void abandon();

private:
    struct Parsed {
        std::string sql;
        std::vector<std::uint32_t> types;
    };
    /// Whether an answer begins with its columns, and what stands for none.
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
    const Parsed* findStatement(const std::string& name);
    void describeStatement(const Parsed&);
    void describeColumns(const std::string& sql);
    void answer(const SqlExpected<QueryResult>&, Describe);
    void failExtended(const SqlFault&);
    void runNextQuery();
    void endOfBatch();
    void ready();
    void writeStanding();
    void resume();

    std::shared_ptr<Executor> m_executor;
    std::function<void(std::string, bool)> m_send;
    std::function<void()> m_close;
    std::function<void()> m_resume;
    PgWriter m_writer;
    std::map<std::string, Parsed> m_statements;
    std::map<std::string, Portal> m_portals;
    std::map<std::string, std::string> m_sentStanding;
    /// Statements of a simple query that are still to run, the next one last.
    std::vector<std::string> m_queries;
    bool m_busy { false };
    bool m_skipToSync { false };
};

} // namespace Auburnpost::Standin
