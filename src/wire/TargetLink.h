#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "base/Time.h"
#include "message/TargetCommand.h"

#include <libpq-fe.h>

#include <memory>
#include <variant>

namespace Auburnpost::Wire {

/// A target ends a connection that leaves a transaction open for longer without a statement.
inline constexpr Duration idleTransactionLimit = std::chrono::seconds(4);

/// What a TargetLink asks its loop to wait for.
struct LinkInterest {
    bool read { false };
    bool write { false };

    bool operator==(const LinkInterest&) const = default;
};

/// How a TargetLink is opened.
struct TargetLinkSettings {
    ConnectionId id;
    TargetName target;
    SocketAddress address;
    DatabaseName database;
    /// The host's name, by which the target knows it.
    std::string user;
    std::string applicationName;
};

/// The connection is open and the target has told its standing.
struct LinkOpened {
    TargetStanding standing;
};

/// What came of an advance: nothing yet, an opening, a whole answer, or the end of the connection.
using LinkProgress = std::variant<std::monostate, LinkOpened, TargetAnswer, Error>;

namespace Detail {

    /// The command in flight and what of its answer is there.
    struct TargetFlight {
        TargetAnswer answer;
        std::size_t statementCount { 0 };
        std::size_t abortedCount { 0 };

        /// @return how many statements have been accounted for.
        [[nodiscard]] std::size_t accounted() const
        {
            return answer.results.size() + abortedCount + (answer.fault ? 1 : 0);
        }
    };

} // namespace Detail

/// One connection to a target through libpq, without a loop of its own: the owner calls advance() when the
/// descriptor is ready. After an Error it is only good for destruction.
class TargetLink {
public:
    explicit TargetLink(TargetLinkSettings);

    /// Does what can be done without waiting.
    LinkProgress advance();
    /// Sends a command as one pipeline; the connection must be open and idle.
    /// @return nothing, or why the connection is of no further use.
    Expected<void> send(const TargetCommand&);

    [[nodiscard]] int descriptor() const { return PQsocket(m_connection.get()); }
    [[nodiscard]] LinkInterest interest() const { return m_interest; }
    [[nodiscard]] bool isOpen() const { return m_state == State::Open; }
    /// @return the error of a connection that ended for this reason, with the step and the target.
    [[nodiscard]] Error failure(ErrorCode, std::string message) const;

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

    static void onNotice(void* link, const PGresult*);

    LinkProgress advanceConnecting();
    LinkProgress advanceOpen();
    LinkProgress finishOpening();
    LinkProgress readResults();
    Expected<void> flush();
    Expected<void> take(const PGresult*);
    Expected<void> takeFault(const PGresult*);
    Expected<TargetAnswer> finishFlight();
    [[nodiscard]] Expected<TargetStanding> standing() const;
    [[nodiscard]] Error connectionFailure() const;
    [[nodiscard]] Error surprise(std::string message) const;

    TargetLinkSettings m_settings;
    State m_state { State::Connecting };
    LinkInterest m_interest;
    /// Code of the last message with which the target ended, or means to end, the connection.
    std::string m_endState;
    /// What the target sent that has no place in the protocol; empty when nothing did.
    std::string m_surprise;
    std::optional<Detail::TargetFlight> m_flight;
    std::unique_ptr<PGconn, ConnectionDeleter> m_connection;
};

} // namespace Auburnpost::Wire
