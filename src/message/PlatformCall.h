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

/// One call to the platform's service, as docs/OWN-PLATFORM.md states it.
struct PlatformCall {
    PlatformCallId id;
    PlatformMethod method { PlatformMethod::Get };
    /// Path with its leading slash, such as "/table/config/document".
    std::string path;
    /// Put: the row's new value. Post: what is sent.
    std::string body;
    /// Put: the version that the row must have; 0 creates it.
    std::optional<std::uint64_t> expectedVersion;
    Duration timeout {};
    /// Sent besides those that every call has.
    std::vector<CallHeader> headers {};
    /// Asked once a connection stands; the call is written at once if it says yes, and fails as NotSent otherwise.
    /// Empty: the call may be written at any time within its timeout.
    std::function<bool()> maySend {};
};

/// A whole answer of the platform.
struct PlatformReply {
    int status { 0 };
    std::string body;
    /// Version of the row; empty when the answer names none.
    std::optional<std::uint64_t> version;
};

/// The answer to a call; an error other than NotSent means that a Put or Post may have taken effect all the same.
struct PlatformAnswer {
    PlatformCallId id;
    Expected<PlatformReply> reply;
};

} // namespace Auburnpost
