#pragma once

#include "base/LogLevel.h"

#include <span>
#include <string>
#include <string_view>

namespace Auburnpost {

/// Events that a host logs, documented in docs/EVENTS.md. The number of a removed event is not reused.
enum class LogEvent : int {
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    StateDumped = 103,
    StopForced = 104,
    SettingsRefused = 110,
    ListenFailed = 111,
    SettingsReloaded = 112,
    LogLinesDropped = 113,
    HostPaused = 114,

    ConfigurationApplied = 200,
    ConfigurationRefused = 201,
    PlatformLost = 210,
    PlatformBack = 211,
    PeerStateTaken = 212,
    RecordUnreadable = 213,
    ServedGroupsChanged = 215,

    HostJoined = 300,
    HostSuspected = 301,
    HostDead = 302,
    HostLeaving = 303,

    PrimarySuspected = 400,
    TakeoverStarted = 401,
    TakeoverGivenUp = 402,
    PrimaryPromoted = 403,
    PrimaryLearned = 404,
    SwitchStarted = 405,
    SwitchDone = 406,
    TargetFollows = 407,
    PromotionCalled = 408,
    PromotionAnswered = 409,
    ClaimHeld = 410,
    OrderSent = 411,
    OrderDropped = 412,

    TargetConnectFailed = 500,
    TargetConnectionLost = 501,
    TargetLeaving = 502,
    TargetListed = 503,
    TargetGone = 504,
    TargetDoubtful = 505,
    TargetAnswering = 506,
    TargetConnectionClosed = 507,
    TargetPathChanged = 508,

    RequestRefused = 600,
    OutcomeUnknown = 601,
    OutcomeResolved = 602,
    StatementServed = 610,
    StatementFailed = 611,
    StatementMoved = 612,
    SessionRefused = 613,
    SessionForwarded = 614,
    SessionForwardFailed = 615,
    SessionForwardLost = 616,

    PeerMessageRefused = 700,
    PeerSendFailed = 701,
};

/// @return the fixed text of the event.
std::string_view describe(LogEvent);
/// @return the level at which the event is logged.
LogLevel levelOf(LogEvent);
/// @return the number as the log shows it, such as "E0400".
std::string numberOf(LogEvent);
/// @return every event, in ascending order of its number.
std::span<const LogEvent> allLogEvents();

} // namespace Auburnpost
