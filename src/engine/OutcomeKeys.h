#pragma once

#include "base/Ids.h"

#include <string>

namespace Auburnpost::OutcomeKeys {

/// @return the key under which a write with a caller's Idempotency-Key records its outcome.
inline OutcomeKey ofCaller(const OrganisationName& organisation, const std::string& idempotencyKey)
{
    // The length keeps organisation and key apart, whatever characters they hold.
    return OutcomeKey(
        "k:" + std::to_string(organisation.value().size()) + ":" + organisation.value() + ":" + idempotencyKey);
}

/// @return whether a caller may come back with this key; one that a host made is never used again.
inline bool isCallers(const OutcomeKey& key)
{
    return key.value().starts_with("k:");
}

/// @return a key for one write without a caller's key.
inline OutcomeKey ofHost(const HostName& host, Incarnation incarnation, std::uint64_t number)
{
    return OutcomeKey("a:" + host.value() + "#" + std::to_string(incarnation.value()) + ":" + std::to_string(number));
}

} // namespace Auburnpost::OutcomeKeys
