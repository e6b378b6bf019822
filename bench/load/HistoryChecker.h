#pragma once

#include "load/LogFacts.h"
#include "load/ReadChecker.h"

#include <map>

namespace Auburnpost::Load {

/// Facts in the final log of the primary of each database.
using FinalLogs = std::map<DatabaseName, LogFacts>;

/// Checks a history against the final logs by the rules of docs/LOAD.md.
/// @return all violations; empty when the history satisfies every rule.
std::vector<Violation> checkHistory(const std::vector<HistoryEvent>&, const FinalLogs&);

} // namespace Auburnpost::Load
