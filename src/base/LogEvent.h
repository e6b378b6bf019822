#pragma once

#include "base/LogLevel.h"

#include <span>
#include <string>
#include <string_view>

namespace Auburnpost {

/// Events that a host logs, documented in docs/EVENTS.md. The number of a removed event is not reused.
enum class LogEvent : int {
    Started = 100,
    ShutdownStarted = 101,
    ShutdownCompleted = 102,
    StateDumped = 103,
    ShutdownForced = 104,
    SettingsRejected = 110,
    ListenFailed = 111,
    SettingsReloaded = 112,
    LogLinesDropped = 113,
    ProcessPaused = 114,

    ConfigurationApplied = 200,
    ConfigurationRejected = 201,
    PlatformOutage = 210,
    PlatformRecovered = 211,
    PeerStateAdopted = 212,
    TargetRecordInvalid = 213,
    ServedGroupsChanged = 215,
    PlatformCallFailed = 216,
    OlderConfigurationIgnored = 217,
    TableSourceChanged = 218,
    FeederFailed = 219,
    StoreEraChanged = 220,
    NewerConfigurationStated = 221,
    TableCopyOld = 222,
    ConfigurationBehind = 223,

    HostJoined = 300,
    HostSuspected = 301,
    HostDead = 302,
    HostLeaving = 303,

    PrimarySuspected = 400,
    FailoverStarted = 401,
    FailoverAbandoned = 402,
    PrimaryPromoted = 403,
    NewPrimaryDetected = 404,
    SwitchoverStarted = 405,
    SwitchoverCompleted = 406,
    FollowCommandSent = 407,
    PromotionRequested = 408,
    PromotionRequestFinished = 409,
    PromotionLeaseHeld = 410,
    PromotionCommandSent = 411,
    PromotionCommandDropped = 412,
    PromotionEffectSeen = 413,
    PromotionFenceLost = 414,
    PromotionEffectLate = 415,
    MemberReleased = 420,
    PendingPromotionFound = 421,
    HandoverStalled = 422,
    MemberRecordUnusable = 423,
    MemberRecordMissing = 424,
    MembersRecorded = 425,
    RecordedMemberCounted = 426,
    PrimaryDoubted = 427,
    PrimaryDoubtResolved = 428,
    AcknowledgementHeld = 429,
    PrimaryAbsent = 430,

    TargetConnectFailed = 500,
    TargetConnectionLost = 501,
    TargetLeaving = 502,
    TargetListed = 503,
    TargetRemoved = 504,
    TargetSuspected = 505,
    TargetSuspicionCleared = 506,
    TargetConnectionClosed = 507,
    TargetPathChanged = 508,
    TargetConnectSucceeded = 509,
    TargetConnectionInTransaction = 510,

    RequestRefused = 600,
    OutcomeUnknown = 601,
    OutcomeResolved = 602,
    StatementServed = 610,
    StatementFailed = 611,
    StatementRetried = 612,
    SessionRefused = 613,
    SessionForwarded = 614,
    SessionForwardFailed = 615,
    SessionForwardEnded = 616,
    CallerMessageRefused = 617,
    SessionRevoked = 618,
    ForwardedStatementFailed = 619,
    RateLimitExceeded = 620,
    CallersLimited = 630,

    PeerMessageRejected = 700,
    PeerMessageNotSent = 701,
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
