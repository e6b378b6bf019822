#pragma once

#include "message/CallerAnswer.h"
#include "wire/HttpMessage.h"

namespace Auburnpost::Wire {

/// Writes the whole answer to a caller: status, headers and JSON body.
HttpReply writeCallerAnswer(const CallerAnswer&);

/// Writes the error reply to a caller or an operator.
HttpReply writeRefusal(const Refusal&);

} // namespace Auburnpost::Wire
