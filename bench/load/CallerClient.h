#pragma once

#include "load/HttpClient.h"
#include "load/Workload.h"

namespace Auburnpost::Load {

/// A host's answer to one attempt of a request.
struct CallerReply {
    Outcome outcome { Outcome::Unknown };
    int status { 0 };
    /// Error code; empty on success, "no_answer" without a complete answer, "malformed" for an invalid one.
    std::string code;
    std::string token;
    std::string servedBy;
    std::optional<Duration> age;
    std::vector<Fact> facts;
    /// The answer can't be parsed or is not the complete answer to this request.
    bool malformed { false };

    /// Parses the answer to @p event.
    static CallerReply read(const HttpAnswer&, const HistoryEvent& event);
};

/// @return the HTTP request for one attempt of @p operation at @p host.
HttpRequest makeRequest(const Operation& operation, const HostEndpoint& host, Duration timeout);

} // namespace Auburnpost::Load
