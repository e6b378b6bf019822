#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost {

enum class PlatformMethod : std::uint8_t {
    Get,
    Put,
    Post,
};

struct CallHeader {
    std::string name;
    std::string value;
};

/// One call to the platform's service, as specified in docs/OWN-PLATFORM.md.
struct PlatformCall {
    PlatformCallId id;
    PlatformMethod method { PlatformMethod::Get };
    /// Path with its leading slash, such as "/table/config/document".
    std::string path;
    /// Put: the row's new value. Post: the request body.
    std::string body;
    /// Put: the version that the row must have; 0 creates the row.
    std::optional<std::uint64_t> expectedVersion;
    Duration timeout {};
    /// Headers in addition to those of every call.
    std::vector<CallHeader> headers {};
    /// Whether it is sent before all calls that are not urgent, on a connection that is kept for urgent ones.
    bool isUrgent { false };
    /// Whether it is sent on a connection on which no call was answered before, as an idle one may have died.
    bool needsNewConnection { false };
    /// Called once a connection is established. If it returns true, the call is written immediately; otherwise the call
    /// fails with NotSent.
    /// Empty: the call may be written at any time within its timeout.
    std::function<bool()> maySend {};
};

/// A complete response of the platform.
struct PlatformReply {
    int status { 0 };
    std::string body;
    /// Version of the row; empty when the response has none.
    std::optional<std::uint64_t> version;
    std::vector<CallHeader> headers {};
};

/// The outcome of a call. After any error other than NotSent, a Put or Post may still have taken effect.
struct PlatformAnswer {
    PlatformCallId id;
    Expected<PlatformReply> reply;
};

} // namespace Auburnpost
