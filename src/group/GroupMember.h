#pragma once

#include "base/Ids.h"

namespace Auburnpost::Group {

/// One target of a database group.
struct GroupMember {
    TargetName target;
    DataCentreName dataCentre;

    bool operator==(const GroupMember&) const = default;
};

/// @return how many of @p members make a majority.
constexpr std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

} // namespace Auburnpost::Group
