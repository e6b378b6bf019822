#pragma once

#include "proxy/PromotionLease.h"
#include "proxy/TargetRequest.h"

#include <variant>

namespace Auburnpost::Proxy {

struct LeaseReadRequest { };
struct LeaseWriteRequest {
    PromotionLease lease;
    RowVersion expected;
};
/// Asks for the table of targets.
struct MembersReadRequest { };
struct PromotionRequest {
    TargetName target;
    RowVersion token;
    /// Whether the time for sending the call had passed.
    bool isLate { false };
};
struct CommandRequest {
    TargetName target;
    TargetRequest command;
};

/// What a ModelHost asks of the store, the platform or a target.
using ModelRequest
    = std::variant<LeaseReadRequest, LeaseWriteRequest, MembersReadRequest, PromotionRequest, CommandRequest>;

} // namespace Auburnpost::Proxy
