#include "base/LogEvent.h"

namespace Auburnpost {

std::string_view describe(LogEvent event)
{
    switch (event) {
    case LogEvent::Started:
        return "host started";
    case LogEvent::Stopping:
        return "host stopping";
    case LogEvent::Stopped:
        return "host stopped";
    case LogEvent::StateDumped:
        return "state";
    case LogEvent::StopForced:
        return "stop forced; what is in flight is cut";
    case LogEvent::SettingsRefused:
        return "settings refused";
    case LogEvent::ListenFailed:
        return "cannot listen";
    case LogEvent::ConfigurationApplied:
        return "configuration applied";
    case LogEvent::ConfigurationRefused:
        return "configuration refused";
    case LogEvent::PlatformLost:
        return "platform does not answer";
    case LogEvent::PlatformBack:
        return "platform answers again";
    case LogEvent::HostJoined:
        return "host joined";
    case LogEvent::HostSuspected:
        return "host suspected";
    case LogEvent::HostDead:
        return "host dead";
    case LogEvent::HostLeaving:
        return "host leaving";
    case LogEvent::PrimarySuspected:
        return "primary suspected";
    case LogEvent::TakeoverStarted:
        return "takeover started";
    case LogEvent::TakeoverGivenUp:
        return "takeover given up";
    case LogEvent::PrimaryPromoted:
        return "primary promoted";
    case LogEvent::PrimaryLearned:
        return "primary learned";
    case LogEvent::SwitchStarted:
        return "planned switch started";
    case LogEvent::SwitchDone:
        return "planned switch done";
    case LogEvent::TargetFollows:
        return "target told to follow";
    case LogEvent::TargetConnectFailed:
        return "connection to target failed";
    case LogEvent::TargetConnectionLost:
        return "connection to target lost";
    case LogEvent::TargetLeaving:
        return "target leaving";
    case LogEvent::RequestRefused:
        return "request refused";
    case LogEvent::OutcomeUnknown:
        return "outcome unknown";
    case LogEvent::OutcomeResolved:
        return "outcome resolved";
    case LogEvent::PeerMessageRefused:
        return "message of a peer refused";
    case LogEvent::PeerSendFailed:
        return "message to a peer not sent";
    }
    return "unknown event";
}

} // namespace Auburnpost
