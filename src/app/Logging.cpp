#include "app/Logging.h"

#include <log4cxx/logger.h>

namespace Auburnpost {

void Logging::write(const LogRecord& record)
{
    std::string line = "E" + std::to_string(static_cast<int>(record.event)) + " " + std::string(describe(record.event));
    for (const auto& field : record.fields)
        line += " " + field.name + "=" + field.value;
    LOG4CXX_INFO(log4cxx::Logger::getLogger("auburnpost"), line);
}

} // namespace Auburnpost
