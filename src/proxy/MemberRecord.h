#pragma once

#include "base/SocketAddress.h"
#include "proxy/Ids.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// A member as recorded in the store.
struct RecordedMember {
    TargetName name;
    SocketAddress address;
    TargetIncarnation incarnation;

    bool operator==(const RecordedMember&) const = default;
};

/// The members of a group that may hold an acknowledged commit, as recorded in the group's row in the store. The row's
/// version is the number of the record: it increases with each write.
struct MemberRecord {
    /// Ordered by name.
    std::vector<RecordedMember> members;
    /// Number of replicas that must have received a commit when the record was written.
    std::size_t syncReplicas { 0 };
    /// Term of the primary when the record was written.
    Term term;
};

/// Why a group's row holds no record of members that this host can use.
enum class MemberRecordProblem : std::uint8_t {
    None,
    /// There is no record: the group is new, the record was removed, or a host of an earlier version wrote the row.
    Missing,
    /// The row or the record can't be decoded.
    Unreadable,
    /// The record was written by a host of a later version, in another format.
    Newer,
};

/// @return the text for logs and dumps, such as "missing".
std::string_view toString(MemberRecordProblem);

} // namespace Auburnpost::Proxy
