#pragma once

#include "base/Expected.h"
#include "base/LogRecord.h"
#include "config/Settings.h"

#include <string>

/// The log of this process, written through log4cxx.
namespace Auburnpost::Logging {

/// Directs the log to the file that the settings name, or to standard output. Lines logged earlier are discarded.
/// @return nothing, or an error when the file can't be opened.
Expected<void> configure(const Config::LogSettings&);

/// Directs the log to standard output through a bounded buffer that flush() writes out, so that a slow reader never
/// blocks the host.
void configureBuffered();

/// Writes as much of the buffer as standard output accepts without blocking, and logs the number of lines dropped since
/// the last call.
void flush();

/// @return the line without its timestamp, such as "E0400 primary suspected database=… target=…". A value with a blank,
/// a quote or a control character is quoted, so that it can't be mistaken for another field or line.
std::string formatLine(const LogRecord&);

/// Logs one line at the level of the event.
void write(const LogRecord&);

} // namespace Auburnpost::Logging
