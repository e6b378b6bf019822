#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "message/TargetCommand.h"

#include <libpq-fe.h>

#include <memory>
#include <variant>

namespace Auburnpost::Wire {

/// Maximum time for which a transaction may be open without a statement; the target then ends the connection.
inline constexpr Duration idleTransactionTimeout = std::chrono::seconds(4);

/// Readiness of the socket for which the owner must wait before it calls advance().
struct SocketInterest {
    bool read { false };
    bool write { false };

    bool operator==(const SocketInterest&) const = default;
};

/// Parameters of a new connection.
struct PostgresConnectionSettings {
    ConnectionId id;
    TargetName target;
    SocketAddress address;
    DatabaseName database;
    /// Name of this host, which is sent as the user name.
    std::string user;
    std::string applicationName;
};

/// The connection is open and the target has reported its status.
struct PostgresConnectionOpened {
    TargetStatus status;
};

/// Result of advance(): nothing yet, the opening, a complete answer, or the error that ended the connection.
using ConnectionProgress = std::variant<std::monostate, PostgresConnectionOpened, TargetAnswer, Error>;

namespace Detail {

    /// The command in flight and the part of its answer that was received.
    struct CommandInFlight {
        TargetAnswer answer;
        std::size_t statementCount { 0 };
        std::size_t abortedCount { 0 };

        /// @return the number of statements that succeeded, failed or were skipped.
        [[nodiscard]] std::size_t completedCount() const
        {
            return answer.results.size() + abortedCount + (answer.fault ? 1 : 0);
        }
    };

} // namespace Detail

/// One connection to a target through libpq. It has no event loop: the owner calls advance() when the descriptor is
/// ready. After an Error the object can only be destroyed.
class PostgresConnection {
public:
    explicit PostgresConnection(PostgresConnectionSettings);

    /// Makes as much progress as possible without blocking.
    ConnectionProgress advance();
    /// Sends a command as one pipeline; the connection must be open and idle.
    /// @return nothing, or the error after which the connection can only be destroyed.
    Expected<void> send(const TargetCommand&);

    [[nodiscard]] int descriptor() const { return PQsocket(m_connection.get()); }
    [[nodiscard]] SocketInterest interest() const { return m_interest; }
    [[nodiscard]] bool isOpen() const { return m_state == State::Open; }
    /// @return an error of this connection, with the current step and the name of the target.
    [[nodiscard]] Error makeError(ErrorCode, std::string message) const;

private:
    enum class State : std::uint8_t {
        Connecting,
        Open,
    };

    struct ConnectionDeleter {
        void operator()(PGconn* connection) const { PQfinish(connection); }
    };
    struct ResultDeleter {
        void operator()(PGresult* result) const { PQclear(result); }
    };
    using ResultPointer = std::unique_ptr<PGresult, ResultDeleter>;

    static void onNotice(void* context, const PGresult*);

    ConnectionProgress advanceConnecting();
    ConnectionProgress advanceOpen();
    ConnectionProgress finishOpening();
    ConnectionProgress readResults();
    Expected<void> flush();
    Expected<void> handleResult(const PGresult*);
    Expected<void> handleFault(const PGresult*);
    Expected<TargetAnswer> finishCommand();
    [[nodiscard]] Expected<TargetStatus> readStatus() const;
    [[nodiscard]] Error connectionError() const;
    [[nodiscard]] Error protocolError(std::string message) const;

    PostgresConnectionSettings m_settings;
    State m_state { State::Connecting };
    SocketInterest m_interest;
    /// SQLSTATE of the last message by which the target ended the connection, or announced its end.
    std::string m_endSqlState;
    /// Description of a message that violates the protocol; empty if there was none.
    std::string m_protocolError;
    std::optional<Detail::CommandInFlight> m_inFlight;
    std::unique_ptr<PGconn, ConnectionDeleter> m_connection;
};

} // namespace Auburnpost::Wire
