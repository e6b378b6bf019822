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

/// The line belongs to a reply that is not complete yet.
struct IncompleteReply { };
struct ConnectionAccepted {
    /// The target's log point; empty if it reported none.
    std::optional<LogPoint> position;
};
struct ConnectionRefused {
    Session::FailureCode code;
};
/// The line violates the protocol at this point.
struct ProtocolViolation { };

using TargetLine
    = std::variant<IncompleteReply, ConnectionAccepted, ConnectionRefused, Proxy::TargetReply, ProtocolViolation>;

/// Encodes the requests and decodes the replies of one connection to a target.
class TargetCodec {
public:
    /// @return the line that opens a connection to the target; any other target refuses it.
    /// @param organisation the organisation whose statements the connection serves; empty if the deployment has none,
    /// and for connections that serve only the proxy's own requests.
    static std::string writeConnectionRequest(const Proxy::TargetRecord&, const OrganisationName& organisation);
    /// Encodes requests, whose replies read() expects afterwards in the same order.
    std::string write(const std::vector<Proxy::TargetRequest>&);
    /// Decodes the next line. The last line of a reply returns the whole reply.
    TargetLine read(std::string_view line);

private:
    TargetLine finish(std::string_view rest);

    bool m_isOpen { false };
    std::optional<Session::Failure> m_refusal;
    /// For each unanswered request, in order, whether the row of its reply is a target status.
    std::deque<bool> m_requestsStatus;
    Session::Success m_success;
    std::optional<Session::Failure> m_failure;
    bool m_hasOutcome { false };
};

} // namespace Auburnpost::Platform
