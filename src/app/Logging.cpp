#include "app/Logging.h"

#include "app/LogBuffer.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/writer.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/writerappender.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace Auburnpost {

namespace {

    constexpr auto linePattern = "%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %-5p %m%n";

    log4cxx::LevelPtr toLog4cxx(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getError();
    }

    bool needsQuotes(const std::string& value)
    {
        return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char character) {
            return std::isspace(character) || std::iscntrl(character) || character == '"';
        });
    }

    std::string formatFieldValue(const std::string& value)
    {
        if (!needsQuotes(value))
            return value;
        return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    LogBuffer& logBuffer()
    {
        static LogBuffer instance;
        return instance;
    }

    /// Appends the lines that log4cxx has formatted to the buffer.
    class BufferWriter final : public log4cxx::helpers::Writer {
    public:
        void close(log4cxx::helpers::Pool&) override { }
        void flush(log4cxx::helpers::Pool&) override { }
        void write(const log4cxx::LogString& text, log4cxx::helpers::Pool&) override { logBuffer().add(text); }
    };

    class BufferAppender final : public log4cxx::WriterAppender {
    public:
        explicit BufferAppender(const log4cxx::LayoutPtr& layout)
            : log4cxx::WriterAppender(layout)
        {
            setWriter(std::make_shared<BufferWriter>());
        }
    };

    /// @return the number of bytes written to standard output without blocking.
    std::size_t writeToStandardOutput(std::string_view text)
    {
        // A pipe that polls as writable accepts a write of this size without blocking.
        constexpr std::size_t maxWriteBytes = 4096;
        pollfd output { STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&output, 1, 0) <= 0 || !(output.revents & POLLOUT))
            return 0;
        const auto written = ::write(STDOUT_FILENO, text.data(), std::min(text.size(), maxWriteBytes));
        return written > 0 ? static_cast<std::size_t>(written) : 0;
    }

    log4cxx::AppenderPtr makeAppender(const Config::LogSettings& settings, const log4cxx::LayoutPtr& layout)
    {
        if (settings.file.empty())
            return std::make_shared<log4cxx::ConsoleAppender>(layout);
        return std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
    }

} // namespace

Expected<void> Logging::configure(const Config::LogSettings& settings)
{
    // Checked here because log4cxx reports a file that it can't open on standard error only.
    if (!settings.file.empty() && !std::ofstream(settings.file, std::ios::app))
        return fail(ErrorCode::BadSettings, "open log", settings.file, "the file can't be opened");
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(settings, std::make_shared<log4cxx::PatternLayout>(linePattern)));
    root->setLevel(toLog4cxx(settings.level));
    return {};
}

void Logging::configureBuffered()
{
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(std::make_shared<BufferAppender>(std::make_shared<log4cxx::PatternLayout>(linePattern)));
    root->setLevel(log4cxx::Level::getInfo());
}

void Logging::flush()
{
    logBuffer().flush(writeToStandardOutput);
    if (const auto dropped = logBuffer().takeDroppedCount())
        write({ LogEvent::LogLinesDropped, { { "lines", std::to_string(dropped) } } });
}

std::string Logging::formatLine(const LogRecord& record)
{
    auto line = numberOf(record.event) + " " + std::string(describe(record.event));
    for (const auto& field : record.fields)
        line += " " + field.name + "=" + formatFieldValue(field.value);
    return line;
}

void Logging::write(const LogRecord& record)
{
    log4cxx::Logger::getRootLogger()->log(toLog4cxx(levelOf(record.event)), formatLine(record));
}

} // namespace Auburnpost
