#pragma once

#include "base/LogRecord.h"

namespace Auburnpost::Logging {

/// Writes one line with the event's number and text.
void write(const LogRecord&);

} // namespace Auburnpost::Logging
