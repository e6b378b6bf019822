#include "engine/WatcherNotes.h"

#include "engine/MessagePacking.h"

namespace Auburnpost {

namespace {

    enum class NoteKind : std::uint8_t {
        Vote,
        Drain,
        Drained,
        Resume,
    };

    struct PackedNote {
        std::uint8_t kind { 0 };
        /// Vote: its sequence; the others: the switch.
        std::uint64_t number { 0 };
        Incarnation incarnation;
        Term term;
        std::string primary;
        bool suspects { false };
        Duration limit {};
        MSGPACK_DEFINE(kind, number, incarnation, term, primary, suspects, limit);
    };

    PackedNote packed(const Group::WatchVote& vote)
    {
        return { static_cast<std::uint8_t>(NoteKind::Vote), vote.sequence, vote.incarnation, vote.term,
            vote.primary.value(), vote.suspects, {} };
    }

    PackedNote packedSwitch(NoteKind kind, Group::SwitchId id, Duration limit = {})
    {
        return { static_cast<std::uint8_t>(kind), id.value(), {}, {}, {}, false, limit };
    }

    PackedNote packed(const DrainNote& note)
    {
        return packedSwitch(NoteKind::Drain, note.id, note.limit);
    }

    PackedNote packed(const DrainedNote& note)
    {
        return packedSwitch(NoteKind::Drained, note.id);
    }

    PackedNote packed(const ResumeNote& note)
    {
        return packedSwitch(NoteKind::Resume, note.id);
    }

    WatcherNoteContent unpacked(const PackedNote& note)
    {
        const Group::SwitchId id(note.number);
        switch (static_cast<NoteKind>(note.kind)) {
        case NoteKind::Vote:
            return Group::WatchVote { note.incarnation, note.number, note.term, TargetName(note.primary),
                note.suspects };
        case NoteKind::Drain:
            return DrainNote { id, note.limit };
        case NoteKind::Drained:
            return DrainedNote { id };
        case NoteKind::Resume:
            return ResumeNote { id };
        }
        throw msgpack::type_error();
    }

} // namespace

std::string writeWatcherNote(const WatcherNoteContent& content)
{
    msgpack::sbuffer buffer;
    std::visit([&buffer](const auto& note) { msgpack::pack(buffer, packed(note)); }, content);
    return { buffer.data(), buffer.size() };
}

Expected<WatcherNoteContent> readWatcherNote(std::string_view bytes)
{
    try {
        return unpacked(msgpack::unpack(bytes.data(), bytes.size()).get().as<PackedNote>());
    } catch (const msgpack::unpack_error& problem) {
        return fail(ErrorCode::BadMessage, "read watcher note", "", problem.what());
    } catch (const msgpack::type_error& problem) {
        return fail(ErrorCode::BadMessage, "read watcher note", "", problem.what());
    }
}

} // namespace Auburnpost
