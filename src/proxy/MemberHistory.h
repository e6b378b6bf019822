#pragma once

#include "proxy/TargetRecord.h"
#include "proxy/TargetStatus.h"

#include <optional>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// What a host last knew of a group's departed members and of its primary's log. It serves logs and dumps only: no
/// decision depends on it.
class MemberHistory {
public:
    /// Time for which a departure is kept.
    static constexpr Duration retention = std::chrono::seconds(10);
    /// Number of departures that are kept; older ones are dropped first.
    static constexpr std::size_t maxDepartures = 4;

    enum class DepartureKind : std::uint8_t {
        /// The member had announced its shutdown.
        Left,
        /// The member's record disappeared without an announcement.
        Lapsed,
        /// The target started again under the same name.
        Restarted,
    };

    struct Departure {
        TargetName name;
        DepartureKind kind {};
        Instant at;
        /// The last status, and when its query was sent.
        std::optional<TargetStatus> status;
        Instant queriedAt;
    };

    /// The end of a primary's log as last reported.
    struct PrimaryLog {
        TargetName name;
        Term term;
        LogPoint end;
        /// When the request that reported it was sent.
        Instant knownAt;
    };

    void recordDeparture(Instant now, Departure);
    /// Records an end of the log of the primary of a term. An end of an earlier term, or before the known one, is
    /// ignored.
    void recordPrimary(const PrimaryLog&);

    /// @return the departures within the retention, oldest first.
    [[nodiscard]] std::vector<Departure> departures(Instant now) const;
    /// @return the log of the primary of the highest term seen; empty when none was seen.
    [[nodiscard]] const std::optional<PrimaryLog>& primaryLog() const { return m_primaryLog; }

private:
    std::vector<Departure> m_departures;
    std::optional<PrimaryLog> m_primaryLog;
};

/// @return the text for logs, such as "left".
std::string_view toString(MemberHistory::DepartureKind);

} // namespace Auburnpost::Proxy
