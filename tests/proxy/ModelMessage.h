#pragma once

#include "proxy/ModelRequest.h"
#include "proxy/TargetRecord.h"
#include "proxy/TargetStatus.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

/// A message of ProtocolModel that has been sent and not delivered yet, or an event that a component has scheduled.
struct ModelMessage {
    enum class Kind : std::uint8_t {
        /// The host applies the store's table of targets as of the delivery.
        List,
        Command,
        Reply,
        LeaseRead,
        LeaseReadAnswer,
        LeaseWrite,
        LeaseWriteAnswer,
        /// The store reads the table of targets for a lease holder.
        MembersRead,
        MembersReadAnswer,
        Call,
        CallAnswer,
        /// An accepted promotion takes effect.
        Effect,
        /// A running target writes its record.
        Registration,
        /// The record of a target that does not run expires.
        Expiry,
    };

    Kind kind { Kind::List };
    std::size_t host { 0 };
    /// Number of restarts of the host before the message; a restarted host receives no earlier message.
    std::size_t hostRestarts { 0 };
    /// Number of the lease request that an answer belongs to.
    std::size_t leaseRequest { 0 };
    TargetName target;
    TargetRequest command;
    /// When the command was sent.
    Instant sentAt {};
    TargetStatus status;
    PromotionLease lease;
    /// The expected version, or the token of a call.
    RowVersion version;
    PromotionLeaseRow row;
    std::optional<RowVersion> written;
    /// The table of targets at the time of the store's answer.
    std::vector<TargetRecord> records;
    std::size_t listVersion { 0 };
    PromotionOutcome outcome { PromotionOutcome::Accepted };
    /// Messages of one batch were sent in the same step and are delivered together.
    std::size_t batch { 0 };
    /// Tick from which the message can be delivered.
    std::size_t dueTick { 0 };
    /// Tick at which the message was held back.
    std::optional<std::size_t> heldSince;
};

/// @return what the delivery of the message means, in words.
std::string toString(const ModelMessage&);

} // namespace Auburnpost::Proxy
