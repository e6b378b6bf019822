#pragma once

#include "base/Expected.h"
#include "load/HistoryEvent.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace Auburnpost::Load {

/// How often each fact was inserted, as the log of one database says.
using LogFacts = std::unordered_map<Fact, std::uint32_t>;

/// Reads the answer of `GET /log` of a target.
/// @return the facts, or ErrorCode::BadMessage with the reason.
Expected<LogFacts> readLogFacts(std::string_view log);

} // namespace Auburnpost::Load
