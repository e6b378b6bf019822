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

    /// Sorted by number.
    constexpr std::array<Definition, 84> definitions { {
        { LogEvent::Started, LogLevel::Info, "host started" },
        { LogEvent::ShutdownStarted, LogLevel::Info, "host shutdown started" },
        { LogEvent::ShutdownCompleted, LogLevel::Info, "host shutdown completed" },
        { LogEvent::StateDumped, LogLevel::Info, "state dump" },
        { LogEvent::ShutdownForced, LogLevel::Error, "shutdown forced; requests in flight aborted" },
        { LogEvent::SettingsRejected, LogLevel::Error, "settings rejected" },
        { LogEvent::ListenFailed, LogLevel::Error, "cannot listen on a configured address" },
        { LogEvent::SettingsReloaded, LogLevel::Info, "settings reloaded" },
        { LogEvent::LogLinesDropped, LogLevel::Warn, "log lines dropped; log buffer was full" },
        { LogEvent::ProcessPaused, LogLevel::Warn, "pause of this process detected" },
        { LogEvent::ConfigurationApplied, LogLevel::Info, "configuration applied" },
        { LogEvent::ConfigurationRejected, LogLevel::Error, "configuration rejected" },
        { LogEvent::PlatformOutage, LogLevel::Warn, "platform unavailable" },
        { LogEvent::PlatformRecovered, LogLevel::Info, "platform available again" },
        { LogEvent::PeerStateAdopted, LogLevel::Info, "table state adopted from a peer" },
        { LogEvent::TargetRecordInvalid, LogLevel::Warn, "target record cannot be parsed" },
        { LogEvent::ServedGroupsChanged, LogLevel::Info, "set of groups served by this host changed" },
        { LogEvent::PlatformCallFailed, LogLevel::Info, "another call to the platform failed" },
        { LogEvent::OlderConfigurationIgnored, LogLevel::Warn, "older configuration ignored" },
        { LogEvent::TableSourceChanged, LogLevel::Info, "tables followed at another source" },
        { LogEvent::FeederFailed, LogLevel::Warn, "a host that feeds tables failed" },
        { LogEvent::StoreEraChanged, LogLevel::Warn, "the platform's store came back from an older copy" },
        { LogEvent::NewerConfigurationStated, LogLevel::Info, "another host has a newer configuration" },
        { LogEvent::TableCopyOld, LogLevel::Warn, "copy of a table older than half of its bound" },
        { LogEvent::ConfigurationBehind, LogLevel::Warn, "this host's configuration is behind another host's" },
        { LogEvent::HostJoined, LogLevel::Info, "host joined" },
        { LogEvent::HostSuspected, LogLevel::Warn, "host suspected to be dead" },
        { LogEvent::HostDead, LogLevel::Warn, "host declared dead" },
        { LogEvent::HostLeaving, LogLevel::Info, "host announced its shutdown" },
        { LogEvent::PrimarySuspected, LogLevel::Warn, "primary suspected" },
        { LogEvent::FailoverStarted, LogLevel::Warn, "failover started" },
        { LogEvent::FailoverAbandoned, LogLevel::Warn, "failover abandoned" },
        { LogEvent::PrimaryPromoted, LogLevel::Warn, "target promoted to primary" },
        { LogEvent::NewPrimaryDetected, LogLevel::Debug, "new primary detected" },
        { LogEvent::SwitchoverStarted, LogLevel::Info, "planned switchover started" },
        { LogEvent::SwitchoverCompleted, LogLevel::Info, "planned switchover completed" },
        { LogEvent::FollowCommandSent, LogLevel::Info, "follow command sent to target" },
        { LogEvent::PromotionRequested, LogLevel::Warn, "promotion of a target requested from the platform" },
        { LogEvent::PromotionRequestFinished, LogLevel::Warn, "promotion request to the platform finished" },
        { LogEvent::PromotionLeaseHeld, LogLevel::Info, "promotion lease is held by another host" },
        { LogEvent::PromotionCommandSent, LogLevel::Info, "promotion command sent to target" },
        { LogEvent::PromotionCommandDropped, LogLevel::Info,
            "promotion command to target dropped; its lease has expired" },
        { LogEvent::PromotionEffectSeen, LogLevel::Warn, "requested promotion took effect" },
        { LogEvent::PromotionFenceLost, LogLevel::Warn,
            "fence of target gone before the requested promotion took effect" },
        { LogEvent::PromotionEffectLate, LogLevel::Warn, "promotion took effect after its attempt was abandoned" },
        { LogEvent::MemberReleased, LogLevel::Info, "member without a record no longer counts" },
        { LogEvent::PendingPromotionFound, LogLevel::Warn, "promotion of an earlier lease may still take effect" },
        { LogEvent::HandoverStalled, LogLevel::Warn, "no member has the log of the demoted primary in time" },
        { LogEvent::MemberRecordUnusable, LogLevel::Warn, "record of a group's members can't be used" },
        { LogEvent::MemberRecordMissing, LogLevel::Info, "group has no record of its members" },
        { LogEvent::MembersRecorded, LogLevel::Info, "members of a group recorded in the store" },
        { LogEvent::RecordedMemberCounted, LogLevel::Info, "member on record without a list entry counts" },
        { LogEvent::PrimaryDoubted, LogLevel::Info, "primary is not used, as it may have been replaced" },
        { LogEvent::PrimaryDoubtResolved, LogLevel::Info, "primary is used again" },
        { LogEvent::AcknowledgementHeld, LogLevel::Info,
            "acknowledgement of a primary that may have been replaced is held" },
        { LogEvent::PrimaryAbsent, LogLevel::Warn, "group has no usable primary" },
        { LogEvent::TargetConnectFailed, LogLevel::Warn, "opening a connection to target failed" },
        { LogEvent::TargetConnectionLost, LogLevel::Warn, "connection to target lost during a request" },
        { LogEvent::TargetLeaving, LogLevel::Info, "target marked as leaving" },
        { LogEvent::TargetListed, LogLevel::Info, "target added or updated" },
        { LogEvent::TargetRemoved, LogLevel::Info, "target removed" },
        { LogEvent::TargetSuspected, LogLevel::Warn, "target unresponsive" },
        { LogEvent::TargetSuspicionCleared, LogLevel::Info, "target responsive again" },
        { LogEvent::TargetConnectionClosed, LogLevel::Info, "connection to target closed while idle" },
        { LogEvent::TargetPathChanged, LogLevel::Info, "network path to target changed" },
        { LogEvent::TargetConnectSucceeded, LogLevel::Info, "target accepts connections again" },
        { LogEvent::TargetConnectionInTransaction, LogLevel::Warn,
            "connection closed, a transaction of no session is open on it" },
        { LogEvent::RequestRefused, LogLevel::Debug, "request refused" },
        { LogEvent::OutcomeUnknown, LogLevel::Warn, "request outcome unknown" },
        { LogEvent::OutcomeResolved, LogLevel::Debug, "request outcome resolved" },
        { LogEvent::StatementServed, LogLevel::Info, "statement served" },
        { LogEvent::StatementFailed, LogLevel::Info, "statement failed" },
        { LogEvent::StatementRetried, LogLevel::Info, "statement not executed by target; retrying" },
        { LogEvent::SessionRefused, LogLevel::Info, "session refused" },
        { LogEvent::SessionForwarded, LogLevel::Info, "session forwarded to another host" },
        { LogEvent::SessionForwardFailed, LogLevel::Warn, "forwarding a session to another host failed" },
        { LogEvent::SessionForwardEnded, LogLevel::Info, "forwarded session ended" },
        { LogEvent::CallerMessageRefused, LogLevel::Info, "message of a caller refused" },
        { LogEvent::SessionRevoked, LogLevel::Info, "session ended as its key was removed" },
        { LogEvent::ForwardedStatementFailed, LogLevel::Info, "forwarded statement failed at another host" },
        { LogEvent::RateLimitExceeded, LogLevel::Info, "operations over an organisation's rate limit refused" },
        { LogEvent::CallersLimited, LogLevel::Warn, "connections of callers closed by limits" },
        { LogEvent::PeerMessageRejected, LogLevel::Warn, "message from a peer rejected" },
        { LogEvent::PeerMessageNotSent, LogLevel::Debug, "sending a message to a peer failed" },
    } };

    const Definition& definitionOf(LogEvent event)
    {
        static constexpr Definition unknown { LogEvent::Started, LogLevel::Error, "unknown event" };
        const auto* const found = std::find_if(definitions.begin(), definitions.end(),
            [event](const Definition& definition) { return definition.event == event; });
        return found == definitions.end() ? unknown : *found;
    }

    std::vector<LogEvent> listEvents()
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
    static const auto events = listEvents();
    return events;
}

} // namespace Auburnpost
