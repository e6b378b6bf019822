#pragma once

#include "base/Expected.h"
#include "base/LogRecord.h"
#include "config/Settings.h"

#include <string>

/// The log of this process, by log4cxx.
namespace Auburnpost::Logging {

/// Sends the log where the settings say. Before the first call it goes nowhere.
/// @return nothing, or an error when the file can't be opened.
Expected<void> configure(const Config::LogSettings&);

/// Sends the log to standard output by way of a bounded buffer that flush() empties, so that a slow reader never blocks
/// the host.
void configureBuffered();

/// Writes what the reader of standard output takes now, and logs how many lines were dropped since the last call.
void flush();

/// @return the line without its time: "E0400 primary suspected database=… target=…". A value with a blank, a quote or a
/// control character is quoted, so that it can't be taken for another field or line.
std::string formatLine(const LogRecord&);

/// Writes one line at the event's level.
void write(const LogRecord&);

} // namespace Auburnpost::Logging
