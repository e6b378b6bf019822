#pragma once

#include <string_view>

namespace Auburnpost {

/// Called with the text of a violated invariant and its source location.
using InvariantHandler = void (*)(std::string_view text, const char* file, int line);

/// Replaces the handler. The default handler writes to standard error and aborts.
/// @return the previous handler.
InvariantHandler setInvariantHandler(InvariantHandler);

namespace Detail {
    void invariantViolated(std::string_view text, const char* file, int line);
} // namespace Detail

} // namespace Auburnpost

/// Checks @p condition in every build, release builds included: a host that violates an invariant must not continue.
#define AUBURNPOST_INVARIANT(condition, text)                                                                          \
    do {                                                                                                               \
        if (!(condition)) [[unlikely]]                                                                                 \
            ::Auburnpost::Detail::invariantViolated(text, __FILE__, __LINE__);                                         \
    } while (false)
