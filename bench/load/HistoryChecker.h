#pragma once

#include "load/LogFacts.h"
#include "load/ReadChecker.h"

#include <map>

namespace Auburnpost::Load {

/// The final log of the primary, per database.
using FinalLogs = std::map<DatabaseName, LogFacts>;

/// Holds a history against the final logs by the rules of docs/LOAD.md.
/// @return every breach; empty when the history is good.
std::vector<Violation> checkHistory(const std::vector<HistoryEvent>&, const FinalLogs&);

} // namespace Auburnpost::Load
