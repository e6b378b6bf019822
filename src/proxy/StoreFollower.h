#pragma once

#include "base/Expected.h"
#include "base/Random.h"
#include "base/Time.h"
#include "proxy/StoreTable.h"

#include <optional>

namespace Auburnpost::Proxy {

/// What following the store asks of its surroundings.
class StoreActions {
public:
    virtual ~StoreActions() = default;
    /// Reads a table from a key on.
    virtual void readTable(StoreTable, const std::string& fromKey) = 0;
    /// Waits for changes after a version.
    virtual void followTable(StoreTable, RowVersion after, Duration wait) = 0;
    /// Writes this host's own record.
    virtual void writeHost(const HostName&, const std::string& value) = 0;
};

/// Keeps one table of the platform's store: reads it whole, then follows its changes by long polls; starts anew when
/// the history is gone. Rows only go forward.
class StoreFollower {
public:
    /// A long poll lasts so long: an open connection may go silent without an error, and is noticed only after this and
    /// answerLimit.
    static constexpr Duration followWait = std::chrono::milliseconds(5000);
    /// Beyond the wait, an answer is late after this; the store takes milliseconds when it is well.
    static constexpr Duration answerLimit = std::chrono::milliseconds(1000);
    static constexpr Duration retryMinimum = std::chrono::milliseconds(150);
    static constexpr Duration retryMaximum = std::chrono::milliseconds(400);

    StoreFollower(StoreTable, StoreActions&);

    /// Starts the next call when one is due.
    void tick(Instant now);
    /// @return whether the table changed.
    bool tableRead(Instant now, RandomEngine&, const Expected<StorePage>&);
    bool tableFollowed(Instant now, RandomEngine&, const Expected<StorePage>&);
    /// Takes the table as a peer holds it, if that is newer.
    /// @return whether it was.
    bool takeOver(const TableState&);

    [[nodiscard]] const TableState& state() const { return m_state; }
    /// @return whether the table was read at least once.
    [[nodiscard]] bool isKnown() const { return m_state.asOf != RowVersion {}; }
    /// @return whether the last call was answered.
    [[nodiscard]] bool isConnected() const { return m_isConnected; }
    /// @return when the store last answered.
    [[nodiscard]] std::optional<Instant> answeredAt() const { return m_answeredAt; }
    /// @return since when calls fail; empty while they are answered.
    [[nodiscard]] std::optional<Instant> lostSince() const { return m_lostSince; }

private:
    void failed(Instant now, RandomEngine&);
    void answered(Instant now);
    bool apply(const StorePage&);

    StoreTable m_table;
    StoreActions& m_actions;
    TableState m_state;
    /// Pages of a whole read that is under way.
    TableState m_reading;
    bool m_needsRead { true };
    bool m_isCalling { false };
    bool m_isConnected { false };
    std::optional<Instant> m_answeredAt;
    std::optional<Instant> m_lostSince;
    Instant m_nextAt {};
};

} // namespace Auburnpost::Proxy
