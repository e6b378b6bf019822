#pragma once

#include "base/LogEvent.h"

#include <string>
#include <vector>

namespace Auburnpost {

struct LogField {
    std::string name;
    std::string value;
};

/// One log line: an event and its named fields.
struct LogRecord {
    LogEvent event { LogEvent::Started };
    std::vector<LogField> fields;
};

} // namespace Auburnpost
