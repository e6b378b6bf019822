#pragma once

#include "load/HttpClient.h"
#include "load/Workload.h"

namespace Auburnpost::Load {

/// What the host answered to one attempt.
struct CallerReply {
    Outcome outcome { Outcome::Unknown };
    int status { 0 };
    /// The error's code; "no_answer" when no whole answer came.
    std::string code;
    std::string token;
    std::string servedBy;
    std::optional<Duration> age;
    std::vector<Fact> facts;
    /// An answer of 200 that is not the whole answer to the request.
    bool malformed { false };

    /// Reads the answer to @p event.
    static CallerReply read(const HttpAnswer&, const HistoryEvent& event);
};

/// @return the HTTP request for one attempt of @p operation at @p host.
HttpCall makeCall(const Operation& operation, const HostEndpoint& host, Duration timeout);

} // namespace Auburnpost::Load
