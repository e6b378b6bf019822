#pragma once

#include "base/Expected.h"
#include "load/HistoryEvent.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace Auburnpost::Load {

/// Number of insertions of each fact in the log of one database.
using LogFacts = std::unordered_map<Fact, std::uint32_t>;

/// Parses the answer of a target to `GET /log`.
/// @return the counted facts, or ErrorCode::BadMessage with the reason.
Expected<LogFacts> readLogFacts(std::string_view log);

} // namespace Auburnpost::Load
