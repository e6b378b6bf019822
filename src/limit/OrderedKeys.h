#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <ext/pb_ds/assoc_container.hpp>
#include <functional>

namespace Auburnpost::Limit {

/// Orders requests by time, those of one time by their arrival.
struct Key {
    Instant at;
    RequestId id;

    auto operator<=>(const Key&) const = default;
};

/// A set of keys that also tells the position of a key in O(log n).
using OrderedKeys = __gnu_pbds::tree<Key, __gnu_pbds::null_type, std::less<>, __gnu_pbds::rb_tree_tag,
    __gnu_pbds::tree_order_statistics_node_update>;

} // namespace Auburnpost::Limit
