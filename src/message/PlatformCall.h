#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
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
};

/// A whole answer of the platform.
struct PlatformReply {
    int status { 0 };
    std::string body;
    /// Version of the row; empty when the answer names none.
    std::optional<std::uint64_t> version;
};

/// The answer to a call; an error means that a Put may have taken effect all the same.
struct PlatformAnswer {
    PlatformCallId id;
    Expected<PlatformReply> reply;
};

} // namespace Auburnpost
