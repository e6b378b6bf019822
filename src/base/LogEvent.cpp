#include "base/LogEvent.h"

#include <algorithm>
#include <vector>

namespace Auburnpost {

namespace {

    struct Definition {
        LogLevel level;
        std::string_view text;
    };

    constexpr std::string_view unknownText = "unknown event";
    constexpr int highestNumber = 9999;
    constexpr std::size_t numberDigits = 4;

    Definition definitionOf(LogEvent event)
    {
        switch (event) {
        case LogEvent::Started:
            return { LogLevel::Info, "host started" };
        case LogEvent::Stopping:
            return { LogLevel::Info, "host stopping" };
        case LogEvent::Stopped:
            return { LogLevel::Info, "host stopped" };
        case LogEvent::StateDumped:
            return { LogLevel::Info, "state" };
        case LogEvent::StopForced:
            return { LogLevel::Error, "stop forced; what is in flight is cut" };
        case LogEvent::SettingsRefused:
            return { LogLevel::Error, "settings refused" };
        case LogEvent::ListenFailed:
            return { LogLevel::Error, "cannot listen" };
        case LogEvent::SettingsReloaded:
            return { LogLevel::Info, "settings reloaded" };
        case LogEvent::LogLinesDropped:
            return { LogLevel::Warn, "log lines dropped" };
        case LogEvent::HostPaused:
            return { LogLevel::Warn, "this host did not run for a while" };
        case LogEvent::ConfigurationApplied:
            return { LogLevel::Info, "configuration applied" };
        case LogEvent::ConfigurationRefused:
            return { LogLevel::Error, "configuration refused" };
        case LogEvent::PlatformLost:
            return { LogLevel::Warn, "platform does not answer" };
        case LogEvent::PlatformBack:
            return { LogLevel::Info, "platform answers again" };
        case LogEvent::PeerStateTaken:
            return { LogLevel::Info, "state taken from a peer" };
        case LogEvent::RecordUnreadable:
            return { LogLevel::Warn, "record can't be read" };
        case LogEvent::HostJoined:
            return { LogLevel::Info, "host joined" };
        case LogEvent::HostSuspected:
            return { LogLevel::Warn, "host suspected" };
        case LogEvent::HostDead:
            return { LogLevel::Warn, "host dead" };
        case LogEvent::HostLeaving:
            return { LogLevel::Info, "host leaving" };
        case LogEvent::PrimarySuspected:
            return { LogLevel::Warn, "primary suspected" };
        case LogEvent::TakeoverStarted:
            return { LogLevel::Warn, "takeover started" };
        case LogEvent::TakeoverGivenUp:
            return { LogLevel::Warn, "takeover given up" };
        case LogEvent::PrimaryPromoted:
            return { LogLevel::Warn, "primary promoted" };
        case LogEvent::PrimaryLearned:
            return { LogLevel::Debug, "primary learned" };
        case LogEvent::SwitchStarted:
            return { LogLevel::Info, "planned switch started" };
        case LogEvent::SwitchDone:
            return { LogLevel::Info, "planned switch done" };
        case LogEvent::TargetFollows:
            return { LogLevel::Info, "target told to follow" };
        case LogEvent::PromotionCalled:
            return { LogLevel::Warn, "promotion called" };
        case LogEvent::PromotionAnswered:
            return { LogLevel::Warn, "promotion answered" };
        case LogEvent::ClaimHeld:
            return { LogLevel::Info, "another host may replace the primary" };
        case LogEvent::OrderSent:
            return { LogLevel::Info, "order sent to target" };
        case LogEvent::TargetConnectFailed:
            return { LogLevel::Warn, "no connection to a target can be opened" };
        case LogEvent::TargetConnectionLost:
            return { LogLevel::Warn, "connection to target lost in the middle of a request" };
        case LogEvent::TargetLeaving:
            return { LogLevel::Info, "target leaving" };
        case LogEvent::TargetListed:
            return { LogLevel::Info, "target listed" };
        case LogEvent::TargetGone:
            return { LogLevel::Info, "target gone" };
        case LogEvent::TargetDoubtful:
            return { LogLevel::Warn, "target does not answer" };
        case LogEvent::TargetAnswering:
            return { LogLevel::Info, "target answers again" };
        case LogEvent::TargetConnectionClosed:
            return { LogLevel::Info, "connection to target ended between requests" };
        case LogEvent::TargetPathChanged:
            return { LogLevel::Info, "way to target changed" };
        case LogEvent::RequestRefused:
            return { LogLevel::Debug, "request refused" };
        case LogEvent::OutcomeUnknown:
            return { LogLevel::Warn, "outcome unknown" };
        case LogEvent::OutcomeResolved:
            return { LogLevel::Debug, "outcome resolved" };
        case LogEvent::StatementServed:
            return { LogLevel::Info, "statement served" };
        case LogEvent::StatementFailed:
            return { LogLevel::Info, "statement failed" };
        case LogEvent::StatementMoved:
            return { LogLevel::Info, "statement tried elsewhere" };
        case LogEvent::SessionRefused:
            return { LogLevel::Info, "session refused" };
        case LogEvent::SessionEnded:
            return { LogLevel::Info, "session ended" };
        case LogEvent::PeerMessageRefused:
            return { LogLevel::Warn, "message of a peer refused" };
        case LogEvent::PeerSendFailed:
            return { LogLevel::Debug, "message to a peer not sent" };
        }
        return { LogLevel::Error, unknownText };
    }

    std::vector<LogEvent> findEvents()
    {
        std::vector<LogEvent> events;
        for (int number = 0; number <= highestNumber; ++number) {
            const auto event = static_cast<LogEvent>(number);
            if (definitionOf(event).text != unknownText)
                events.push_back(event);
        }
        return events;
    }

} // namespace

std::string_view describe(LogEvent event)
{
    return definitionOf(event).text;
}

LogLevel levelOf(LogEvent event)
{
    return definitionOf(event).level;
}

std::string numberOf(LogEvent event)
{
    const auto digits = std::to_string(static_cast<int>(event));
    return "E" + std::string(numberDigits - std::min(numberDigits, digits.size()), '0') + digits;
}

std::span<const LogEvent> allLogEvents()
{
    static const auto events = findEvents();
    return events;
}

} // namespace Auburnpost
