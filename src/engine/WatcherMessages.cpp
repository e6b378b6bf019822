#include "engine/WatcherMessages.h"

#include "engine/MessagePacking.h"

namespace Auburnpost {

namespace {

    enum class MessageKind : std::uint8_t {
        Vote,
        Drain,
        Drained,
        Resume,
    };

    struct PackedMessage {
        std::uint8_t kind { 0 };
        /// Vote: its sequence number; other kinds: the id of the switchover.
        std::uint64_t number { 0 };
        Incarnation incarnation;
        Term term;
        std::string primary;
        bool suspects { false };
        Duration limit {};
        MSGPACK_DEFINE(kind, number, incarnation, term, primary, suspects, limit);
    };

    PackedMessage packed(const Group::WatcherVote& vote)
    {
        return { static_cast<std::uint8_t>(MessageKind::Vote), vote.sequence, vote.incarnation, vote.term,
            vote.primary.value(), vote.suspects, {} };
    }

    PackedMessage packedSwitchover(MessageKind kind, Group::SwitchoverId id, Duration limit = {})
    {
        return { static_cast<std::uint8_t>(kind), id.value(), {}, {}, {}, false, limit };
    }

    PackedMessage packed(const DrainRequest& message)
    {
        return packedSwitchover(MessageKind::Drain, message.id, message.limit);
    }

    PackedMessage packed(const DrainCompleted& message)
    {
        return packedSwitchover(MessageKind::Drained, message.id);
    }

    PackedMessage packed(const ResumeRequest& message)
    {
        return packedSwitchover(MessageKind::Resume, message.id);
    }

    WatcherMessageContent unpacked(const PackedMessage& message)
    {
        const Group::SwitchoverId id(message.number);
        switch (static_cast<MessageKind>(message.kind)) {
        case MessageKind::Vote:
            return Group::WatcherVote { message.incarnation, message.number, message.term, TargetName(message.primary),
                message.suspects };
        case MessageKind::Drain:
            return DrainRequest { id, message.limit };
        case MessageKind::Drained:
            return DrainCompleted { id };
        case MessageKind::Resume:
            return ResumeRequest { id };
        }
        throw msgpack::type_error();
    }

} // namespace

std::string writeWatcherMessage(const WatcherMessageContent& content)
{
    msgpack::sbuffer buffer;
    std::visit([&buffer](const auto& message) { msgpack::pack(buffer, packed(message)); }, content);
    return { buffer.data(), buffer.size() };
}

Expected<WatcherMessageContent> readWatcherMessage(std::string_view bytes)
{
    try {
        return unpacked(msgpack::unpack(bytes.data(), bytes.size()).get().as<PackedMessage>());
    } catch (const msgpack::unpack_error& problem) {
        return fail(ErrorCode::BadMessage, "read watcher note", "", problem.what());
    } catch (const msgpack::type_error& problem) {
        return fail(ErrorCode::BadMessage, "read watcher note", "", problem.what());
    }
}

} // namespace Auburnpost
