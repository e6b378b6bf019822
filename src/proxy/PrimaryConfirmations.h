#pragma once

#include "base/Time.h"
#include "proxy/Ids.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace Auburnpost::Proxy {

/// What a confirmation relies on.
enum class ConfirmationSource : std::uint8_t {
    /// Statuses of the primary and of enough other members.
    Members,
    /// A commit that the primary acknowledged.
    Commit,
    /// The row of the promotion lease, which shows no replacement. It confirms no read.
    Row,
};

/// @return the text for logs, such as "members".
std::string_view toString(ConfirmationSource);

/// Moments at which a primary was confirmed as not replaced, each with the end of its log at that time. A confirmation
/// holds for no later moment: a read of the current state needs one that was requested after the read arrived.
class PrimaryConfirmations {
public:
    /// Maximum age of a sample. A staleness allowance longer than this gives a replica read no further advantage.
    static constexpr Duration sampleLifetime = std::chrono::seconds(20);

    /// Adds a confirmation unless a newer one is known.
    /// @param requestedAt no later than the sending of the first request that the confirmation relies on.
    void add(Instant requestedAt, const TargetName& primary, const LogPoint& primaryEnd, ConfirmationSource);

    /// @return whether a read that arrived at @p arrival sees every acknowledged commit when it runs on @p primary.
    [[nodiscard]] bool covers(Instant arrival, const TargetName& primary) const;
    /// @return the lowest known log point that includes every commit acknowledged before @p moment; empty when there is
    /// none.
    [[nodiscard]] std::optional<LogPoint> logPointAt(Instant moment) const;
    /// @return when the newest confirmation was requested; empty when there is none.
    [[nodiscard]] std::optional<Instant> newestRequestedAt() const;
    /// @return what the newest confirmation relies on; empty when there is none.
    [[nodiscard]] std::optional<ConfirmationSource> newestSource() const;

private:
    struct Sample {
        Instant requestedAt;
        TargetName primary;
        LogPoint end;
        ConfirmationSource source {};
    };

    /// In ascending order of requestedAt.
    std::deque<Sample> m_samples;
};

} // namespace Auburnpost::Proxy
