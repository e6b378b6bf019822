#pragma once

#include "base/Ids.h"

namespace Auburnpost::Group {

/// One target of a database group.
struct GroupMember {
    TargetName target;
    DataCentreName dataCentre;

    bool operator==(const GroupMember&) const = default;
};

/// @return the number of members that form a majority of @p members.
constexpr std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

} // namespace Auburnpost::Group
