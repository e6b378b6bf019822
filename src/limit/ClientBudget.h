#pragma once

#include "base/StrongId.h"
#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Auburnpost::Limit {

using namespace std::chrono_literals;

/// Identifies a caller's connection; unique for the lifetime of the process.
using ClientId = StrongId<std::uint64_t, struct ClientIdTag>;

/// Limits for the connections of callers, documented in docs/LIMITS.md.
struct ClientLimits {
    /// Memory for the messages and answers of all connections together.
    std::size_t budgetBytes { 64UL * 1024 * 1024 };
    /// Maximum number of connections.
    std::size_t connections { 1024 };
    /// Maximum size of a message.
    std::size_t messageBytes { 1024UL * 1024 };
    /// How often a message exists while its request is served: with the statement, and in the output to the target.
    std::size_t copies { 2 };
    /// Whether an idle session, or one in a transaction, may be closed for a new caller.
    bool replacesSessions { true };
    /// Time for a message to be complete, besides what its size needs at sendRate.
    Duration messageTime { 10s };
    /// Minimum rate of a message that is being sent, in bytes per second. A link of 10 Mbit/s has room for 37 senders
    /// at this rate, more than large messages are read at a time.
    std::size_t sendRate { 32UL * 1024 };
    /// Time for an answer to be read, besides what its size needs at readRate.
    Duration answerTime { 10s };
    /// Minimum rate at which an answer is read, in bytes per second. A link of 10 Mbit/s has room for 300 readers at
    /// this rate.
    std::size_t readRate { 4UL * 1024 };
};

/// What a connection does, as far as it decides whether the connection may be closed for a new caller.
enum class ClientStage : std::uint8_t {
    /// Has not opened a session.
    Opening,
    /// Is in the middle of a message or of reading an answer.
    Transferring,
    /// Has a session without a request or a transaction.
    Idle,
    /// Has a transaction and no request.
    InTransaction,
    /// Has a request that is not answered.
    Serving,
};

/// Why a connection is to be closed.
enum class ClientCloseReason : std::uint8_t {
    /// The memory is used up, and this connection has gone longest without reading its answer or sending its message.
    Memory,
    /// Its message was not complete in time.
    SlowSender,
    /// Its answer was not read in time.
    SlowReader,
    /// The connections are used up, and a new caller takes its place.
    Replaced,
};

/// @return the text for logs, such as "slow_sender".
constexpr std::string_view toString(ClientCloseReason reason)
{
    constexpr std::string_view texts[] { "memory", "slow_sender", "slow_reader", "replaced" };
    return texts[static_cast<std::size_t>(reason)];
}

struct ClientClosing {
    ClientId client;
    ClientCloseReason reason {};
};

/// Divides the memory for callers' messages and answers among their connections, and decides which connections are
/// closed because they make no progress.
///
/// Each connection may hold freeBytes() of a message at any time. A message above that is read only with a permit: a
/// small one for mediumBytes(), a large one for a whole message. Permits are given in order of demand while the memory
/// lasts, and half of it is kept for large ones, so that a message that has begun is never stopped for good by others
/// of its kind. A request keeps the size of all copies of its message until it is answered. Answers come unasked; when
/// they exceed the memory, the connection that has gone longest without reading is to be closed.
class ClientBudget {
public:
    /// Times after which a connection may be closed for a new caller. A new session gets time for its first message.
    static constexpr std::array<Duration, 4> replaceableAfter { 1s, 2s, 5s, 15s };
    /// Time without progress after which a message that holds memory gives way to others that wait for it.
    static constexpr Duration stalledAfter { 2s };

    explicit ClientBudget(const ClientLimits&);

    void opened(Instant, ClientId);
    void closed(Instant, ClientId);

    /// Records the size of an incomplete message.
    /// @return the number of bytes up to which it may be read now.
    std::size_t received(Instant, ClientId, std::size_t bytes);
    /// Records that a message is complete and that its request is served from now on.
    /// @param bytes size of the message.
    /// @param followingBytes what was received after it.
    void requestStarted(Instant, ClientId, std::size_t bytes, std::size_t followingBytes);
    /// Records that the request is answered.
    void requestAnswered(Instant, ClientId, ClientStage);
    /// Records that bytes of an answer are to be sent.
    void answerAdded(Instant, ClientId, std::size_t bytes);
    /// Records how much of the answers is not read.
    /// @param heldBytes the part that this process holds.
    /// @param undeliveredBytes all that the caller's host has not acknowledged.
    void answerRead(Instant, ClientId, std::size_t heldBytes, std::size_t undeliveredBytes);

    /// @return the connections that got a permit since the last call; each may read up to readableBytes().
    std::vector<ClientId> takePermitted();
    /// @return the number of bytes up to which the message of a connection may be read.
    [[nodiscard]] std::size_t readableBytes(ClientId) const;
    /// @return the connection to be closed now because the memory is used up.
    [[nodiscard]] std::optional<ClientClosing> worstHolder(Instant) const;
    /// @return the connection whose message or answer has taken longest beyond its time.
    [[nodiscard]] std::optional<ClientClosing> overdue(Instant) const;
    /// @return the connection to be closed so that a new caller can be accepted.
    [[nodiscard]] std::optional<ClientClosing> replaceable(Instant) const;

    /// @return the number of bytes that each connection may hold of a message without a permit.
    [[nodiscard]] std::size_t freeBytes() const { return m_freeBytes; }
    [[nodiscard]] std::size_t mediumBytes() const { return m_mediumBytes; }
    /// @return the bytes that all connections together hold beyond freeBytes() of each.
    [[nodiscard]] std::size_t chargedBytes() const { return m_chargedBytes; }
    /// @return the limit of chargedBytes(), which answers may exceed until a connection is closed.
    [[nodiscard]] std::size_t sharedBytes() const { return m_sharedBytes; }
    [[nodiscard]] std::size_t size() const { return m_clients.size(); }
    /// @return the number of connections that wait for a permit.
    [[nodiscard]] std::size_t waiting() const { return m_waiting[0].size() + m_waiting[1].size(); }

private:
    enum class Permit : std::uint8_t { None, Medium, Large };
    using Moment = std::pair<Instant, ClientId>;

    struct Client {
        ClientStage sessionStage { ClientStage::Opening };
        /// Since when the connection has been in its stage.
        Instant stageSince;
        bool isServing { false };

        std::size_t messageBytes { 0 };
        /// When the first byte of the message arrived, later by the time for which it waited for permits.
        Instant messageSince;
        Permit permit { Permit::None };
        /// The permit that the connection waits for.
        Permit wanted { Permit::None };
        Instant waitingSince;

        std::size_t heldBytes { 0 };
        std::size_t undeliveredBytes { 0 };
        std::size_t deliveredBytes { 0 };
        Instant answerSince;

        /// Last time at which bytes were received or read.
        Instant progressAt;
        /// Bytes that this connection uses of the shared memory.
        std::size_t messageCharge { 0 };

        /// The entries of this connection in the ordered sets.
        std::optional<Moment> due;
        std::optional<std::pair<std::size_t, Moment>> replaceable;
        std::optional<Moment> holder;
        std::optional<Moment> permitHolder;
    };

    [[nodiscard]] std::size_t chargeOf(Permit) const;
    [[nodiscard]] bool fits(const Client&, Permit) const;
    [[nodiscard]] std::size_t limitOf(Permit) const;
    void setMessageCharge(Client&, std::size_t bytes);
    void setPermit(Client&, Permit);
    void want(Instant, ClientId, Client&, Permit);
    void stopWaiting(ClientId, Client&);
    void givePermits(Instant);
    /// Updates the ordered sets after a change of the connection.
    void reorder(ClientId, Client&);
    [[nodiscard]] std::optional<Instant> dueTime(const Client&) const;

    ClientLimits m_limits;
    std::size_t m_freeBytes;
    std::size_t m_mediumBytes;
    std::size_t m_sharedBytes;
    std::size_t m_chargedBytes { 0 };
    /// The part of the charge that is due to medium permits.
    std::size_t m_mediumCharge { 0 };
    std::unordered_map<ClientId, Client> m_clients;
    /// The connections that wait for a medium and for a large permit, in order of demand.
    std::array<std::set<Moment>, 2> m_waiting;
    std::vector<ClientId> m_permitted;
    std::set<Moment> m_due;
    /// The connections that may be closed for a new caller, for each stage before Serving, by the time in that stage.
    std::array<std::set<Moment>, 4> m_replaceable;
    /// The connections with an unread answer, and those with a permit for a message, by their last progress.
    std::set<Moment> m_holders;
    std::set<Moment> m_permitHolders;
};

} // namespace Auburnpost::Limit
