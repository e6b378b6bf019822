#include "proxy/ModelMessage.h"

namespace Auburnpost::Proxy {

namespace {

    std::string commandText(const TargetRequest& command)
    {
        if (const auto* const fence = std::get_if<FenceReplica>(&command))
            return "fence of term " + std::to_string(fence->term.value());
        if (const auto* const demote = std::get_if<DemotePrimary>(&command))
            return "demotion of term " + std::to_string(demote->term.value());
        return std::holds_alternative<ResumeReplica>(command) ? "resume" : "status query";
    }

} // namespace

std::string toString(const ModelMessage& message)
{
    const auto host = "host-" + std::to_string(message.host);
    const auto& target = message.target.value();
    const auto version = std::to_string(message.version.value());
    switch (message.kind) {
    case ModelMessage::Kind::List:
        return host + " receives the list of targets";
    case ModelMessage::Kind::Command:
        return target + " receives the " + commandText(message.command) + " of " + host;
    case ModelMessage::Kind::Reply:
        return host + " receives the status of " + target + (message.status.isPrimary ? ", primary" : ", replica")
            + " of term " + std::to_string(message.status.term.value()) + ", log end "
            + std::to_string(message.status.received.term.value()) + "."
            + std::to_string(message.status.received.position.value()) + ", fence "
            + std::to_string(message.status.fencedTerm.value());
    case ModelMessage::Kind::LeaseRead:
        return "the store receives the read of the lease of " + host;
    case ModelMessage::Kind::LeaseReadAnswer:
        return host + " receives the lease's row, version " + std::to_string(message.row.version.value());
    case ModelMessage::Kind::LeaseWrite:
        return "the store receives the write of the lease of " + host + " on version " + version;
    case ModelMessage::Kind::LeaseWriteAnswer:
        return host + (message.written ? " holds the lease" : " does not get the lease");
    case ModelMessage::Kind::MembersRead:
        return "the store receives the read of the members of " + host;
    case ModelMessage::Kind::MembersReadAnswer:
        return host + " receives the members that it read";
    case ModelMessage::Kind::Call:
        return "the platform receives the call of " + host + " for " + target + " with token " + version;
    case ModelMessage::Kind::CallAnswer:
        return host + " learns the outcome of its call";
    case ModelMessage::Kind::Effect:
        return "the promotion of " + target + " takes effect";
    case ModelMessage::Kind::Registration:
        return target + " writes its record";
    case ModelMessage::Kind::Expiry:
        return "the record of " + target + " expires";
    }
    return {};
}

} // namespace Auburnpost::Proxy
