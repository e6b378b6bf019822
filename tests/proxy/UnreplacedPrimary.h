#pragma once

#include "proxy/GroupWatcher.h"

namespace Auburnpost::Proxy {

/// Makes the watcher rely on a primary, as a read of the lease's row without a replacement does once the primary has
/// reported itself.
inline void showUnreplaced(
    GroupWatcher& watcher, Instant now, const TargetName& name, std::uint64_t incarnation = 0, std::uint64_t term = 1)
{
    watcher.guard().recordPrimary(now, { name, TargetIncarnation(incarnation), Term(term) });
    watcher.guard().recordRow(now, now, {}, false, {});
}

} // namespace Auburnpost::Proxy
