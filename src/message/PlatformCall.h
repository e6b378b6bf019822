#pragma once

#include "base/Expected.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Auburnpost {

enum class PlatformMethod : std::uint8_t {
    Get,
    Put,
};

/// One call to the platform's service, as docs/PLATFORM.md states it.
struct PlatformCall {
    PlatformCallId id;
    PlatformMethod method { PlatformMethod::Get };
    /// Path with its leading slash, such as "/table/config/document".
    std::string path;
    /// Put: the row's new value.
    std::string body;
    /// Put: the version that the row must have; 0 creates it.
    std::optional<std::uint64_t> expectedVersion;
    Duration timeout {};
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
