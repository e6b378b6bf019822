#include "proxy/ClaimCodec.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Proxy {

std::string encodeClaim(const Claim& claim)
{
    const nlohmann::json encoded { { "holder", claim.holder.value() }, { "expires_at_ms", claim.expiresAtMs } };
    return encoded.dump();
}

Expected<Claim> decodeClaim(std::string_view value)
{
    try {
        const auto encoded = nlohmann::json::parse(value);
        return Claim { HostName(encoded.at("holder").get<std::string>()),
            encoded.at("expires_at_ms").get<std::uint64_t>() };
    } catch (const nlohmann::json::exception& problem) {
        return fail(ErrorCode::BadMessage, "read claim", "", problem.what());
    }
}

} // namespace Auburnpost::Proxy
