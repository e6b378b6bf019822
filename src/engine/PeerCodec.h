#pragma once

#include "base/Expected.h"
#include "message/PeerMessage.h"

#include <string>
#include <string_view>

namespace Auburnpost {

/// @return the message in the encoding that hosts exchange.
std::string writePeerMessage(const PeerMessage&);

/// @return the message, or ErrorCode::BadMessage for bytes that do not encode one.
Expected<PeerMessage> readPeerMessage(std::string_view bytes);

} // namespace Auburnpost
