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
        return lease;
    } catch (const Json::exception& problem) {
        return fail(ErrorCode::BadMessage, "read claim", "", problem.what());
    }
}

} // namespace Auburnpost::Proxy
