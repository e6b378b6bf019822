#include "engine/PeerCodec.h"

#include "engine/MessagePacking.h"

namespace Auburnpost {

namespace {

    /// Incremented with every change of the encoding, so that hosts of two builds refuse each other's messages clearly.
    constexpr std::uint32_t formatVersion = 1;

    template <typename Enumeration> std::uint8_t toNumber(Enumeration value)
    {
        return static_cast<std::uint8_t>(value);
    }

    template <typename Enumeration> Enumeration toEnumerator(std::uint8_t value, Enumeration last)
    {
        if (value > toNumber(last))
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

    struct PackedHomeRequest {
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

    struct PackedForwardedRequest {
        HostName from;
        std::string replyIp;
        std::uint16_t replyPort { 0 };
        AttemptNumber attempt;
        Duration timeLeft {};
        PackedHomeRequest homeRequest;
        MSGPACK_DEFINE(from, replyIp, replyPort, attempt, timeLeft, homeRequest);
    };

    struct PackedResult {
        std::vector<PackedColumn> columns;
        std::vector<std::vector<SqlValue>> rows;
        std::uint64_t rowsAffected { 0 };
        std::optional<LogPoint> durable;
        std::string servedBy;
        std::optional<Duration> age;
        std::uint64_t transaction { 0 };
        Incarnation homeIncarnation;
        bool wasExecuted { false };
        MSGPACK_DEFINE(columns, rows, rowsAffected, durable, servedBy, age, transaction, homeIncarnation, wasExecuted);
    };

    struct PackedFailure {
        std::uint8_t outcome { 0 };
        PackedError error;
        std::optional<Duration> retryAfter;
        MSGPACK_DEFINE(outcome, error, retryAfter);
    };

    struct PackedForwardedReply {
        HostName from;
        AttemptNumber attempt;
        std::optional<PackedResult> success;
        std::optional<PackedFailure> failure;
        MSGPACK_DEFINE(from, attempt, success, failure);
    };

    struct PackedDocumentRequest {
        HostName from;
        std::string replyIp;
        std::uint16_t replyPort { 0 };
        MSGPACK_DEFINE(from, replyIp, replyPort);
    };

    struct PackedDocumentResponse {
        HostName from;
        ConfigVersion version;
        std::string text;
        MSGPACK_DEFINE(from, version, text);
    };

    struct PackedWatcherMessage {
        HostName from;
        DatabaseName database;
        std::string content;
        MSGPACK_DEFINE(from, database, content);
    };

    PackedHomeRequest packed(const HomeRequest& homeRequest)
    {
        return { toNumber(homeRequest.kind), homeRequest.organisation, homeRequest.database, homeRequest.statement.sql,
            homeRequest.statement.parameters, toNumber(homeRequest.access), homeRequest.required, homeRequest.maxAge,
            homeRequest.outcomeKey, homeRequest.requestHash, homeRequest.transaction, homeRequest.homeIncarnation };
    }

    HomeRequest unpacked(PackedHomeRequest&& packed)
    {
        return { toEnumerator(packed.kind, HomeRequestKind::Rollback), std::move(packed.organisation),
            std::move(packed.database), { std::move(packed.sql), std::move(packed.parameters) },
            toEnumerator(packed.access, Access::Write), packed.required, packed.maxAge, std::move(packed.outcomeKey),
            std::move(packed.requestHash), packed.transaction, packed.homeIncarnation };
    }

    PackedForwardedRequest packed(const ForwardedRequest& message)
    {
        return { message.from, message.replyTo.ip, message.replyTo.port, message.attempt, message.timeLeft,
            packed(message.homeRequest) };
    }

    PeerMessage unpacked(PackedForwardedRequest&& packed)
    {
        return ForwardedRequest { std::move(packed.from), { std::move(packed.replyIp), packed.replyPort },
            packed.attempt, packed.timeLeft, unpacked(std::move(packed.homeRequest)) };
    }

    PackedResult packed(const HomeResult& success)
    {
        PackedResult packed { {}, success.result.rows, success.result.rowsAffected, success.durable, success.servedBy,
            success.age, success.transaction, success.homeIncarnation, success.wasExecuted };
        for (const auto& column : success.result.columns)
            packed.columns.push_back({ column.name, column.type });
        return packed;
    }

    HomeResult unpacked(PackedResult&& packed)
    {
        HomeResult success { {}, packed.durable, std::move(packed.servedBy), packed.age, packed.transaction,
            packed.homeIncarnation, packed.wasExecuted };
        for (auto& column : packed.columns)
            success.result.columns.push_back({ std::move(column.name), column.type });
        success.result.rows = std::move(packed.rows);
        success.result.rowsAffected = packed.rowsAffected;
        return success;
    }

    PackedFailure packed(const HomeFailure& failure)
    {
        return { toNumber(failure.outcome),
            { toNumber(failure.error.code), failure.error.step, failure.error.peer, failure.error.message },
            failure.retryAfter };
    }

    HomeFailure unpacked(PackedFailure&& packed)
    {
        auto& error = packed.error;
        return { toEnumerator(packed.outcome, FailedOutcome::Unknown),
            { toEnumerator(error.code, ErrorCode::Internal), std::move(error.step), std::move(error.peer),
                std::move(error.message) },
            packed.retryAfter };
    }

    PackedForwardedReply packed(const ForwardedReply& message)
    {
        PackedForwardedReply packed { message.from, message.attempt, std::nullopt, std::nullopt };
        if (const auto* success = std::get_if<HomeResult>(&message.reply))
            packed.success = Auburnpost::packed(*success);
        else
            packed.failure = Auburnpost::packed(std::get<HomeFailure>(message.reply));
        return packed;
    }

    PeerMessage unpacked(PackedForwardedReply&& packed)
    {
        if (packed.success.has_value() == packed.failure.has_value())
            throw msgpack::type_error();
        if (packed.success)
            return ForwardedReply { std::move(packed.from), packed.attempt, unpacked(std::move(*packed.success)) };
        return ForwardedReply { std::move(packed.from), packed.attempt, unpacked(std::move(*packed.failure)) };
    }

    PackedDocumentRequest packed(const DocumentRequest& message)
    {
        return { message.from, message.replyTo.ip, message.replyTo.port };
    }

    PeerMessage unpacked(PackedDocumentRequest&& packed)
    {
        return DocumentRequest { std::move(packed.from), { std::move(packed.replyIp), packed.replyPort } };
    }

    PackedDocumentResponse packed(const DocumentResponse& message)
    {
        return { message.from, message.version, message.text };
    }

    PeerMessage unpacked(PackedDocumentResponse&& packed)
    {
        return DocumentResponse { std::move(packed.from), packed.version, std::move(packed.text) };
    }

    PackedWatcherMessage packed(const WatcherMessage& message)
    {
        return { message.from, message.database, message.content };
    }

    PeerMessage unpacked(PackedWatcherMessage&& packed)
    {
        return WatcherMessage { std::move(packed.from), std::move(packed.database), std::move(packed.content) };
    }

    using Decoder = PeerMessage (*)(const msgpack::object&);

    template <typename Packed> PeerMessage decodeAs(const msgpack::object& object)
    {
        return unpacked(object.as<Packed>());
    }

    /// In the order of PeerMessage's alternatives.
    constexpr Decoder decoders[] = { decodeAs<PackedForwardedRequest>, decodeAs<PackedForwardedReply>,
        decodeAs<PackedDocumentRequest>, decodeAs<PackedDocumentResponse>, decodeAs<PackedWatcherMessage> };
    static_assert(std::size(decoders) == std::variant_size_v<PeerMessage>);

    PeerMessage decodeChecked(std::string_view bytes)
    {
        std::size_t offset = 0;
        const auto version = msgpack::unpack(bytes.data(), bytes.size(), offset).get().as<std::uint32_t>();
        const auto kind = msgpack::unpack(bytes.data(), bytes.size(), offset).get().as<std::size_t>();
        if (version != formatVersion || kind >= std::size(decoders))
            throw msgpack::type_error();
        const auto body = msgpack::unpack(bytes.data(), bytes.size(), offset);
        return decoders[kind](body.get());
    }

} // namespace

std::string writePeerMessage(const PeerMessage& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, formatVersion);
    msgpack::pack(buffer, message.index());
    std::visit([&buffer](const auto& alternative) { msgpack::pack(buffer, packed(alternative)); }, message);
    return { buffer.data(), buffer.size() };
}

Expected<PeerMessage> readPeerMessage(std::string_view bytes)
{
    try {
        return decodeChecked(bytes);
    } catch (const msgpack::unpack_error& problem) {
        return fail(ErrorCode::BadMessage, "read peer message", "", problem.what());
    } catch (const msgpack::type_error& problem) {
        return fail(ErrorCode::BadMessage, "read peer message", "", problem.what());
    }
}

} // namespace Auburnpost
