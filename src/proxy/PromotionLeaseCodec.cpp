#include "proxy/PromotionLeaseCodec.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Proxy {

namespace {

    using Json = nlohmann::json;

    Json encodePending(const PendingPromotion& pending)
    {
        return { { "candidate", pending.candidate.value() }, { "replaced_term", pending.replacedTerm.value() },
            { "recorded_at_ms", pending.recordedAtMs }, { "repeated", pending.isRepeated } };
    }

    /// Format of the record of members. A record of another format is not read.
    constexpr std::uint64_t membersFormat = 1;
    /// Limit for the members of one group on record, far above what a group has.
    constexpr std::size_t maxRecordedMembers = 256;

    Json encodeMembers(const MemberRecord& record)
    {
        auto list = Json::array();
        for (const auto& member : record.members)
            list.push_back({ { "name", member.name.value() }, { "address", member.address.toString() },
                { "start", member.incarnation.value() } });
        return { { "format", membersFormat }, { "sync_replicas", record.syncReplicas }, { "term", record.term.value() },
            { "list", std::move(list) } };
    }

    /// @return the record; empty if it can't be used.
    std::optional<MemberRecord> decodeMembers(const Json& encoded)
    {
        MemberRecord record { {}, encoded.at("sync_replicas").get<std::size_t>(),
            Term(encoded.at("term").get<std::uint64_t>()) };
        const auto& list = encoded.at("list");
        if (!list.is_array() || list.empty() || list.size() > maxRecordedMembers)
            return {};
        for (const auto& member : list) {
            const auto address = SocketAddress::parse(member.at("address").get<std::string>());
            auto name = member.at("name").get<std::string>();
            if (!address || name.empty())
                return {};
            record.members.push_back(
                { TargetName(std::move(name)), *address, TargetIncarnation(member.at("start").get<std::uint64_t>()) });
        }
        return record;
    }

    /// A record that can't be used does not make the lease unreadable, whose holder would be ignored.
    void readMembers(const Json& encoded, PromotionLease& lease)
    {
        const auto members = encoded.find("members");
        if (members == encoded.end())
            return;
        lease.membersProblem = MemberRecordProblem::Unreadable;
        try {
            if (members->at("format").get<std::uint64_t>() > membersFormat)
                lease.membersProblem = MemberRecordProblem::Newer;
            else
                lease.members = decodeMembers(*members);
        } catch (const Json::exception&) {
            lease.members.reset();
        }
        if (lease.members)
            lease.membersProblem = MemberRecordProblem::None;
    }

    PendingPromotion decodePending(const Json& encoded)
    {
        return { TargetName(encoded.at("candidate").get<std::string>()),
            Term(encoded.at("replaced_term").get<std::uint64_t>()), encoded.at("recorded_at_ms").get<std::uint64_t>(),
            encoded.value("repeated", false) };
    }

} // namespace

std::string encodePromotionLease(const PromotionLease& lease)
{
    Json encoded { { "holder", lease.holder.value() }, { "expires_at_ms", lease.expiresAtMs } };
    if (lease.pending)
        encoded["pending"] = encodePending(*lease.pending);
    if (lease.members)
        encoded["members"] = encodeMembers(*lease.members);
    if (lease.replacedTerm)
        encoded["replaced_term"] = lease.replacedTerm->value();
    if (lease.unresolvedTerm)
        encoded["unresolved_term"] = lease.unresolvedTerm->value();
    return encoded.dump();
}

Expected<PromotionLease> decodePromotionLease(std::string_view value)
{
    try {
        const auto encoded = Json::parse(value);
        PromotionLease lease { HostName(encoded.at("holder").get<std::string>()),
            encoded.at("expires_at_ms").get<std::uint64_t>(), {} };
        // A host of an earlier version writes no pending promotion.
        if (const auto pending = encoded.find("pending"); pending != encoded.end())
            lease.pending = decodePending(*pending);
        readMembers(encoded, lease);
        // A host of an earlier version does not write the term.
        if (const auto term = encoded.find("replaced_term"); term != encoded.end())
            lease.replacedTerm = Term(term->get<std::uint64_t>());
        if (const auto term = encoded.find("unresolved_term"); term != encoded.end())
            lease.unresolvedTerm = Term(term->get<std::uint64_t>());
        return lease;
    } catch (const Json::exception& problem) {
        return fail(ErrorCode::BadMessage, "read claim", "", problem.what());
    }
}

} // namespace Auburnpost::Proxy
