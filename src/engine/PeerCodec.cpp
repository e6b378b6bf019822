#include "engine/PeerCodec.h"

#include "engine/MessagePacking.h"

namespace Auburnpost {

namespace {

    /// Raised with every change of the form, so that hosts of two builds refuse each other's messages clearly.
    constexpr std::uint32_t formVersion = 1;

    template <typename Enumeration> std::uint8_t number(Enumeration value)
    {
        return static_cast<std::uint8_t>(value);
    }

    template <typename Enumeration> Enumeration enumerator(std::uint8_t value, Enumeration last)
    {
        if (value > number(last))
            throw msgpack::type_error();
        return static_cast<Enumeration>(value);
    }

    struct PackedColumn {
        std::string name;
        std::uint32_t type { 0 };
        MSGPACK_DEFINE(name, type);
    };

    struct PackedError {
        std::uint8_t code { 0 };
        std::string step;
        std::string peer;
        std::string message;
        MSGPACK_DEFINE(code, step, peer, message);
    };

    struct PackedWork {
        std::uint8_t kind { 0 };
        OrganisationName organisation;
        DatabaseName database;
        std::string sql;
        std::vector<SqlValue> parameters;
        std::uint8_t access { 0 };
        LogPoint required;
        std::optional<Duration> maxAge;
        OutcomeKey outcomeKey;
        std::string requestHash;
        std::uint64_t transaction { 0 };
        Incarnation homeIncarnation;
        MSGPACK_DEFINE(kind, organisation, database, sql, parameters, access, required, maxAge, outcomeKey, requestHash,
            transaction, homeIncarnation);
    };

    struct PackedForward {
        HostName from;
        std::string replyIp;
        std::uint16_t replyPort { 0 };
        AttemptNumber attempt;
        Duration timeLeft {};
        PackedWork work;
        MSGPACK_DEFINE(from, replyIp, replyPort, attempt, timeLeft, work);
    };

    struct PackedDone {
        std::vector<PackedColumn> columns;
        std::vector<std::vector<SqlValue>> rows;
        std::uint64_t rowsAffected { 0 };
        std::optional<LogPoint> durable;
        std::string servedBy;
        std::optional<Duration> age;
        std::uint64_t transaction { 0 };
        Incarnation homeIncarnation;
        bool found { false };
        MSGPACK_DEFINE(columns, rows, rowsAffected, durable, servedBy, age, transaction, homeIncarnation, found);
    };

    struct PackedFailed {
        std::uint8_t outcome { 0 };
        PackedError error;
        std::optional<Duration> retryAfter;
        MSGPACK_DEFINE(outcome, error, retryAfter);
    };

    struct PackedReply {
        HostName from;
        AttemptNumber attempt;
        std::optional<PackedDone> done;
        std::optional<PackedFailed> failed;
        MSGPACK_DEFINE(from, attempt, done, failed);
    };

    struct PackedWanted {
        HostName from;
        std::string replyIp;
        std::uint16_t replyPort { 0 };
        MSGPACK_DEFINE(from, replyIp, replyPort);
    };

    struct PackedOffered {
        HostName from;
        ConfigVersion version;
        std::string text;
        MSGPACK_DEFINE(from, version, text);
    };

    struct PackedNote {
        HostName from;
        DatabaseName database;
        std::string content;
        MSGPACK_DEFINE(from, database, content);
    };

    PackedWork packed(const Work& work)
    {
        return { number(work.kind), work.organisation, work.database, work.statement.sql, work.statement.parameters,
            number(work.access), work.required, work.maxAge, work.outcomeKey, work.requestHash, work.transaction,
            work.homeIncarnation };
    }

    Work unpacked(PackedWork&& packed)
    {
        return { enumerator(packed.kind, WorkKind::Rollback), std::move(packed.organisation),
            std::move(packed.database), { std::move(packed.sql), std::move(packed.parameters) },
            enumerator(packed.access, Access::Write), packed.required, packed.maxAge, std::move(packed.outcomeKey),
            std::move(packed.requestHash), packed.transaction, packed.homeIncarnation };
    }

    PackedForward packed(const ForwardedWork& message)
    {
        return { message.from, message.replyTo.ip, message.replyTo.port, message.attempt, message.timeLeft,
            packed(message.work) };
    }

    PeerMessage unpacked(PackedForward&& packed)
    {
        return ForwardedWork { std::move(packed.from), { std::move(packed.replyIp), packed.replyPort }, packed.attempt,
            packed.timeLeft, unpacked(std::move(packed.work)) };
    }

    PackedDone packed(const WorkDone& done)
    {
        PackedDone packed { {}, done.result.rows, done.result.rowsAffected, done.durable, done.servedBy, done.age,
            done.transaction, done.homeIncarnation, done.found };
        for (const auto& column : done.result.columns)
            packed.columns.push_back({ column.name, column.type });
        return packed;
    }

    WorkDone unpacked(PackedDone&& packed)
    {
        WorkDone done { {}, packed.durable, std::move(packed.servedBy), packed.age, packed.transaction,
            packed.homeIncarnation, packed.found };
        for (auto& column : packed.columns)
            done.result.columns.push_back({ std::move(column.name), column.type });
        done.result.rows = std::move(packed.rows);
        done.result.rowsAffected = packed.rowsAffected;
        return done;
    }

    PackedFailed packed(const WorkFailed& failed)
    {
        return { number(failed.outcome),
            { number(failed.error.code), failed.error.step, failed.error.peer, failed.error.message },
            failed.retryAfter };
    }

    WorkFailed unpacked(PackedFailed&& packed)
    {
        auto& error = packed.error;
        return { enumerator(packed.outcome, FailedOutcome::Unknown),
            { enumerator(error.code, ErrorCode::Internal), std::move(error.step), std::move(error.peer),
                std::move(error.message) },
            packed.retryAfter };
    }

    PackedReply packed(const ForwardedReply& message)
    {
        PackedReply packed { message.from, message.attempt, std::nullopt, std::nullopt };
        if (const auto* done = std::get_if<WorkDone>(&message.reply))
            packed.done = Auburnpost::packed(*done);
        else
            packed.failed = Auburnpost::packed(std::get<WorkFailed>(message.reply));
        return packed;
    }

    PeerMessage unpacked(PackedReply&& packed)
    {
        if (packed.done.has_value() == packed.failed.has_value())
            throw msgpack::type_error();
        if (packed.done)
            return ForwardedReply { std::move(packed.from), packed.attempt, unpacked(std::move(*packed.done)) };
        return ForwardedReply { std::move(packed.from), packed.attempt, unpacked(std::move(*packed.failed)) };
    }

    PackedWanted packed(const DocumentWanted& message)
    {
        return { message.from, message.replyTo.ip, message.replyTo.port };
    }

    PeerMessage unpacked(PackedWanted&& packed)
    {
        return DocumentWanted { std::move(packed.from), { std::move(packed.replyIp), packed.replyPort } };
    }

    PackedOffered packed(const DocumentOffered& message)
    {
        return { message.from, message.version, message.text };
    }

    PeerMessage unpacked(PackedOffered&& packed)
    {
        return DocumentOffered { std::move(packed.from), packed.version, std::move(packed.text) };
    }

    PackedNote packed(const WatcherNote& message)
    {
        return { message.from, message.database, message.content };
    }

    PeerMessage unpacked(PackedNote&& packed)
    {
        return WatcherNote { std::move(packed.from), std::move(packed.database), std::move(packed.content) };
    }

    using Reader = PeerMessage (*)(const msgpack::object&);

    template <typename Packed> PeerMessage readAs(const msgpack::object& object)
    {
        return unpacked(object.as<Packed>());
    }

    /// In the order of PeerMessage's alternatives.
    constexpr Reader readers[] = { readAs<PackedForward>, readAs<PackedReply>, readAs<PackedWanted>,
        readAs<PackedOffered>, readAs<PackedNote> };
    static_assert(std::size(readers) == std::variant_size_v<PeerMessage>);

    PeerMessage readChecked(std::string_view bytes)
    {
        std::size_t offset = 0;
        const auto version = msgpack::unpack(bytes.data(), bytes.size(), offset).get().as<std::uint32_t>();
        const auto kind = msgpack::unpack(bytes.data(), bytes.size(), offset).get().as<std::size_t>();
        if (version != formVersion || kind >= std::size(readers))
            throw msgpack::type_error();
        const auto body = msgpack::unpack(bytes.data(), bytes.size(), offset);
        return readers[kind](body.get());
    }

} // namespace

std::string writePeerMessage(const PeerMessage& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, formVersion);
    msgpack::pack(buffer, message.index());
    std::visit([&buffer](const auto& alternative) { msgpack::pack(buffer, packed(alternative)); }, message);
    return { buffer.data(), buffer.size() };
}

Expected<PeerMessage> readPeerMessage(std::string_view bytes)
{
    try {
        return readChecked(bytes);
    } catch (const msgpack::unpack_error& problem) {
        return fail(ErrorCode::BadMessage, "read peer message", "", problem.what());
    } catch (const msgpack::type_error& problem) {
        return fail(ErrorCode::BadMessage, "read peer message", "", problem.what());
    }
}

} // namespace Auburnpost
