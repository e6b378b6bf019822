#pragma once

#include "base/Expected.h"
#include "message/PeerMessage.h"

#include <string>
#include <string_view>

namespace Auburnpost {

/// @return the message in the form in which hosts exchange it.
std::string writePeerMessage(const PeerMessage&);

/// @return the message, or ErrorCode::BadMessage for bytes that are none.
Expected<PeerMessage> readPeerMessage(std::string_view bytes);

} // namespace Auburnpost
