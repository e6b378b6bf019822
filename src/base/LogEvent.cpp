#include "base/LogEvent.h"

#include <algorithm>
#include <array>
#include <vector>

namespace Auburnpost {

namespace {

    struct Definition {
        LogEvent event;
        LogLevel level;
        std::string_view text;
    };

    constexpr std::size_t numberDigits = 4;

    /// In the order of the numbers.
    constexpr std::array<Definition, 55> definitions { {
        { LogEvent::Started, LogLevel::Info, "host started" },
        { LogEvent::Stopping, LogLevel::Info, "host stopping" },
        { LogEvent::Stopped, LogLevel::Info, "host stopped" },
        { LogEvent::StateDumped, LogLevel::Info, "state" },
        { LogEvent::StopForced, LogLevel::Error, "stop forced; what is in flight is cut" },
        { LogEvent::SettingsRefused, LogLevel::Error, "settings refused" },
        { LogEvent::ListenFailed, LogLevel::Error, "cannot listen" },
        { LogEvent::SettingsReloaded, LogLevel::Info, "settings reloaded" },
        { LogEvent::LogLinesDropped, LogLevel::Warn, "log lines dropped" },
        { LogEvent::HostPaused, LogLevel::Warn, "this host did not run for a while" },
        { LogEvent::ConfigurationApplied, LogLevel::Info, "configuration applied" },
        { LogEvent::ConfigurationRefused, LogLevel::Error, "configuration refused" },
        { LogEvent::PlatformLost, LogLevel::Warn, "platform does not answer" },
        { LogEvent::PlatformBack, LogLevel::Info, "platform answers again" },
        { LogEvent::PeerStateTaken, LogLevel::Info, "state taken from a peer" },
        { LogEvent::RecordUnreadable, LogLevel::Warn, "record can't be read" },
        { LogEvent::ServedGroupsChanged, LogLevel::Info, "groups served by this host changed" },
        { LogEvent::HostJoined, LogLevel::Info, "host joined" },
        { LogEvent::HostSuspected, LogLevel::Warn, "host suspected" },
        { LogEvent::HostDead, LogLevel::Warn, "host dead" },
        { LogEvent::HostLeaving, LogLevel::Info, "host leaving" },
        { LogEvent::PrimarySuspected, LogLevel::Warn, "primary suspected" },
        { LogEvent::TakeoverStarted, LogLevel::Warn, "takeover started" },
        { LogEvent::TakeoverGivenUp, LogLevel::Warn, "takeover given up" },
        { LogEvent::PrimaryPromoted, LogLevel::Warn, "primary promoted" },
        { LogEvent::PrimaryLearned, LogLevel::Debug, "primary learned" },
        { LogEvent::SwitchStarted, LogLevel::Info, "planned switch started" },
        { LogEvent::SwitchDone, LogLevel::Info, "planned switch done" },
        { LogEvent::TargetFollows, LogLevel::Info, "target told to follow" },
        { LogEvent::PromotionCalled, LogLevel::Warn, "promotion called" },
        { LogEvent::PromotionAnswered, LogLevel::Warn, "promotion answered" },
        { LogEvent::ClaimHeld, LogLevel::Info, "another host may replace the primary" },
        { LogEvent::OrderSent, LogLevel::Info, "order sent to target" },
        { LogEvent::OrderDropped, LogLevel::Info, "order to target dropped, its claim ended" },
        { LogEvent::TargetConnectFailed, LogLevel::Warn, "no connection to a target can be opened" },
        { LogEvent::TargetConnectionLost, LogLevel::Warn, "connection to target lost in the middle of a request" },
        { LogEvent::TargetLeaving, LogLevel::Info, "target leaving" },
        { LogEvent::TargetListed, LogLevel::Info, "target listed" },
        { LogEvent::TargetGone, LogLevel::Info, "target gone" },
        { LogEvent::TargetDoubtful, LogLevel::Warn, "target does not answer" },
        { LogEvent::TargetAnswering, LogLevel::Info, "target answers again" },
        { LogEvent::TargetConnectionClosed, LogLevel::Info, "connection to target ended between requests" },
        { LogEvent::TargetPathChanged, LogLevel::Info, "way to target changed" },
        { LogEvent::RequestRefused, LogLevel::Debug, "request refused" },
        { LogEvent::OutcomeUnknown, LogLevel::Warn, "outcome unknown" },
        { LogEvent::OutcomeResolved, LogLevel::Debug, "outcome resolved" },
        { LogEvent::StatementServed, LogLevel::Info, "statement served" },
        { LogEvent::StatementFailed, LogLevel::Info, "statement failed" },
        { LogEvent::StatementMoved, LogLevel::Info, "statement tried elsewhere" },
        { LogEvent::SessionRefused, LogLevel::Info, "session refused" },
        { LogEvent::SessionForwarded, LogLevel::Info, "session passed on to another host" },
        { LogEvent::SessionForwardFailed, LogLevel::Warn, "host did not take a session" },
        { LogEvent::SessionForwardLost, LogLevel::Info, "session that was passed on has ended" },
        { LogEvent::PeerMessageRefused, LogLevel::Warn, "message of a peer refused" },
        { LogEvent::PeerSendFailed, LogLevel::Debug, "message to a peer not sent" },
    } };

    const Definition& definitionOf(LogEvent event)
    {
        static constexpr Definition unknown { LogEvent::Started, LogLevel::Error, "unknown event" };
        const auto* const found = std::find_if(definitions.begin(), definitions.end(),
            [event](const Definition& definition) { return definition.event == event; });
        return found == definitions.end() ? unknown : *found;
    }

    std::vector<LogEvent> findEvents()
    {
        std::vector<LogEvent> events;
        events.reserve(definitions.size());
        for (const auto& definition : definitions)
            events.push_back(definition.event);
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
