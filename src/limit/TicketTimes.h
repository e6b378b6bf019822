#pragma once

#include "limit/Ticket.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace Auburnpost::Limit {

/// @return the last moment at which the request can be started to be answered before its deadline.
inline Instant latestStart(const Ticket& ticket)
{
    return ticket.deadline - ticket.cost;
}

/// @return whether the request has a latency target before its deadline.
inline bool hasTarget(const Ticket& ticket)
{
    return ticket.targetAt < ticket.deadline;
}

/// @return the last moment at which the request can be started to meet its latency target.
inline Instant targetStart(const Ticket& ticket)
{
    return std::min(ticket.targetAt, ticket.deadline) - ticket.cost;
}

/// @return the time in which so many requests start at a rate.
inline Duration waitOf(std::size_t requests, double perSecond)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(requests) / perSecond));
}

} // namespace Auburnpost::Limit
