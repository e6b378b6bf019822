#pragma once

#include "message/PlatformCall.h"
#include "proxy/Claim.h"
#include "proxy/StoreTable.h"

#include <optional>

namespace Auburnpost::Platform {

/// The platform's calls: each function builds one, without its id, or reads the answer to one.
PlatformCall tableCall(Proxy::StoreTable, const std::string& fromKey);
PlatformCall followCall(Proxy::StoreTable, Proxy::RowVersion after, Duration wait, Duration timeout);
PlatformCall hostWrite(const HostName&, const std::string& value);
PlatformCall claimCall(const Proxy::GroupName&);
PlatformCall claimWrite(const Proxy::GroupName&, const Proxy::Claim&, Proxy::RowVersion expected);
PlatformCall promotionCall(
    const Proxy::GroupName&, const TargetName&, const HostName& holder, Proxy::RowVersion token, Duration timeout);

/// @return the page, or why there is none.
Expected<Proxy::StorePage> readPage(const Expected<PlatformReply>&);
/// @return the claim's row; its version is zero when there is none.
Expected<Proxy::ClaimRow> readClaimRow(const Proxy::GroupName&, const Expected<PlatformReply>&);
/// @return the row's new version; nothing when its version was another one.
Expected<std::optional<Proxy::RowVersion>> readClaimWrite(const Expected<PlatformReply>&);
Proxy::PromotionOutcome readPromotion(const Expected<PlatformReply>&);

} // namespace Auburnpost::Platform
