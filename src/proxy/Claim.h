#pragma once

#include "proxy/Ids.h"

#include <cstdint>
#include <optional>

namespace Auburnpost::Proxy {

/// The right of one host to replace the primary of one group, kept as a row of the platform's store. The row's version
/// is the fencing token: it is unique and rises with each claim.
struct Claim {
    HostName holder;
    /// On the store's own steady clock, in milliseconds.
    std::uint64_t expiresAtMs { 0 };
};

/// A claim as the store holds it.
struct ClaimRow {
    /// Zero when there is no row.
    RowVersion version;
    std::optional<Claim> claim;
    /// The store's clock when it answered, in milliseconds.
    std::uint64_t storeNowMs { 0 };
};

enum class PromotionOutcome : std::uint8_t {
    Accepted,
    /// The target does not run.
    NotRunning,
    /// Not sent, or refused before anything happened.
    NotDone,
    /// Refused for another reason, or no answer: the call may still take effect.
    Unanswered,
};

} // namespace Auburnpost::Proxy
