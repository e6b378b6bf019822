#pragma once

#include "base/Expected.h"
#include "base/Time.h"
#include "proxy/StoreTable.h"

#include <optional>
#include <string>
#include <string_view>

namespace Auburnpost::Proxy {

/// A feeder's answer to a follower.
struct FeedPage {
    /// The store's version that the feeder's copy reflects.
    RowVersion asOf;
    /// Time since the store last confirmed the copy to the feeder.
    Duration age {};
    /// The whole table; empty if it has not changed since the version that the follower has.
    std::optional<TableState> table;
};

/// @return the page as MessagePack.
std::string encodeFeedPage(const FeedPage&);
/// @return the page, or ErrorCode::BadMessage.
Expected<FeedPage> decodeFeedPage(std::string_view bytes);

} // namespace Auburnpost::Proxy
