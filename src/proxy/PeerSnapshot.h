#pragma once

#include "base/Expected.h"
#include "proxy/StoreTable.h"

#include <string>
#include <string_view>

namespace Auburnpost::Proxy {

/// Encodes a host's copies of the store's tables for a peer that can't reach the store.
/// @return the tables as MessagePack.
std::string encodeSnapshot(const TableStates&);

/// @return the tables, or ErrorCode::BadMessage.
Expected<TableStates> decodeSnapshot(std::string_view bytes);

} // namespace Auburnpost::Proxy
