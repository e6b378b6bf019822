#include "proxy/PromotionLeaseCodec.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Proxy {

std::string encodePromotionLease(const PromotionLease& lease)
{
    const nlohmann::json encoded { { "holder", lease.holder.value() }, { "expires_at_ms", lease.expiresAtMs } };
    return encoded.dump();
}

Expected<PromotionLease> decodePromotionLease(std::string_view value)
{
    try {
        const auto encoded = nlohmann::json::parse(value);
        return PromotionLease { HostName(encoded.at("holder").get<std::string>()),
            encoded.at("expires_at_ms").get<std::uint64_t>() };
    } catch (const nlohmann::json::exception& problem) {
        return fail(ErrorCode::BadMessage, "read claim", "", problem.what());
    }
}

} // namespace Auburnpost::Proxy
