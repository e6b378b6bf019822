#include "route/SessionCodec.h"

#include "route/SessionToken.h"
#include "route/Signer.h"
#include "route/TransactionHandle.h"

#include <msgpack.hpp>

namespace Auburnpost::Route {

namespace {

    struct PackedEntry {
        std::string database;
        std::uint64_t term { 0 };
        std::uint64_t position { 0 };
        std::vector<std::string> unresolved;
        MSGPACK_DEFINE(database, term, position, unresolved);
    };

    struct PackedHandle {
        std::string home;
        std::uint64_t incarnation { 0 };
        std::uint64_t number { 0 };
        std::string database;
        MSGPACK_DEFINE(home, incarnation, number, database);
    };

    template <typename Packed> std::string pack(const Packed& packed)
    {
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, packed);
        return { buffer.data(), buffer.size() };
    }

    template <typename Packed> Expected<Packed> unpack(const std::string& bytes, ErrorCode code)
    {
        try {
            return msgpack::unpack(bytes.data(), bytes.size()).get().template as<Packed>();
        } catch (const msgpack::unpack_error& problem) {
            return fail(code, "read sealed text", "", problem.what());
        } catch (const msgpack::type_error& problem) {
            return fail(code, "read sealed text", "", problem.what());
        }
    }

    std::string sessionContext(const OrganisationName& organisation)
    {
        return "session:" + organisation.value();
    }

    std::string handleContext(const OrganisationName& organisation)
    {
        return "transaction:" + organisation.value();
    }

} // namespace

std::string writeSession(const Signer& signer, const OrganisationName& organisation, const SessionToken& token)
{
    std::vector<PackedEntry> packed;
    for (const auto& [database, entry] : token.entries()) {
        PackedEntry item { database.value(), entry.seen.term.value(), entry.seen.position.value(), {} };
        for (const auto& key : entry.unresolved)
            item.unresolved.push_back(key.value());
        packed.push_back(std::move(item));
    }
    return signer.seal(sessionContext(organisation), pack(packed));
}

Expected<SessionToken> readSession(const Signer& signer, const OrganisationName& organisation, std::string_view text)
{
    const auto payload = signer.open(sessionContext(organisation), text);
    if (!payload)
        return tl::unexpected(payload.error());
    const auto packed = unpack<std::vector<PackedEntry>>(*payload, ErrorCode::BadSession);
    if (!packed)
        return tl::unexpected(packed.error());
    SessionToken::Entries entries;
    for (const auto& item : *packed) {
        SessionEntry entry { { Term(item.term), Position(item.position) }, {} };
        for (const auto& key : item.unresolved)
            entry.unresolved.emplace_back(key);
        entries.emplace(DatabaseName(item.database), std::move(entry));
    }
    return SessionToken(std::move(entries));
}

std::string writeHandle(const Signer& signer, const OrganisationName& organisation, const TransactionHandle& handle)
{
    const PackedHandle packed { handle.home.value(), handle.incarnation.value(), handle.number,
        handle.database.value() };
    return signer.seal(handleContext(organisation), pack(packed));
}

Expected<TransactionHandle> readHandle(
    const Signer& signer, const OrganisationName& organisation, std::string_view text)
{
    const auto refuse = [](const Error& error) {
        return fail(ErrorCode::UnknownTransaction, "read transaction handle", "", error.message);
    };
    const auto payload = signer.open(handleContext(organisation), text);
    if (!payload)
        return refuse(payload.error());
    const auto packed = unpack<PackedHandle>(*payload, ErrorCode::UnknownTransaction);
    if (!packed)
        return refuse(packed.error());
    return TransactionHandle { HostName(packed->home), Incarnation(packed->incarnation), packed->number,
        DatabaseName(packed->database) };
}

} // namespace Auburnpost::Route
