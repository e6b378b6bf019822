#pragma once

#include "proxy/TargetRecord.h"
#include "proxy/TargetRequest.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Auburnpost::Platform {

/// The line belongs to a reply that is not whole yet.
struct ReplyContinues { };
struct ConnectionAccepted {
    std::optional<LogPoint> position;
};
struct ConnectionRefusal {
    Session::FailureCode code;
};
/// The line fits nowhere.
struct ProtocolBroken { };

using TargetLine
    = std::variant<ReplyContinues, ConnectionAccepted, ConnectionRefusal, Proxy::TargetReply, ProtocolBroken>;

/// The lines of one connection to a target.
class TargetCodec {
public:
    /// @return the line that opens the connection to this one target.
    static std::string writeOpening(const Proxy::TargetRecord&);
    /// @return the lines of the requests; their replies are expected from here on.
    std::string write(const std::vector<Proxy::TargetRequest>&);
    TargetLine read(std::string_view line);

private:
    TargetLine finish(std::string_view rest);

    bool m_isOpen { false };
    std::optional<Session::Failure> m_refusal;
    /// For each unanswered request whether its row is a standing.
    std::deque<bool> m_asksStanding;
    Session::Success m_success;
    std::optional<Session::Failure> m_failure;
    bool m_hasOutcome { false };
};

} // namespace Auburnpost::Platform
