#pragma once

#include "base/LogEvent.h"

#include <string>
#include <vector>

namespace Auburnpost {

struct LogField {
    std::string name;
    std::string value;
};

/// One line for the log: an event and what it was about.
struct LogRecord {
    LogEvent event { LogEvent::Started };
    std::vector<LogField> fields;
};

} // namespace Auburnpost
