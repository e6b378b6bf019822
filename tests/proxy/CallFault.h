#pragma once

#include <array>
#include <cstdint>

namespace Auburnpost::Proxy {

/// How a call of one host for a followed table ends although the host and the store are undisturbed.
enum class CallFault : std::uint8_t {
    /// No answer until its timeout, as on a connection that takes bytes and gives none.
    NoAnswer,
    /// It is refused, or its connection ends, at once.
    Refused,
    /// The store no longer has the changes; the read of the whole table is answered.
    NoHistory,
    /// The store no longer has the changes, and the read of the whole table is of an earlier moment.
    RejectedRead,
    /// It is answered just before its timeout, with what the store had when the call arrived.
    Late,
    /// It is answered as of the version after which changes were requested.
    EarlierMoment,
    /// It is answered as of the newest version, without the rows that changed.
    MissingRows,
    /// It is neither answered nor ended by its timeout.
    NeverEnds,
};

inline constexpr std::array callFaults { CallFault::NoAnswer, CallFault::Refused, CallFault::NoHistory,
    CallFault::RejectedRead, CallFault::Late, CallFault::EarlierMoment, CallFault::MissingRows, CallFault::NeverEnds };
inline constexpr std::array callFaultNames { "no answer", "refused", "no history", "rejected read", "late",
    "earlier moment", "missing rows", "never ends" };

} // namespace Auburnpost::Proxy
