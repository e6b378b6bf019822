#pragma once

#include <string_view>

namespace Auburnpost {

/// Called with the text of a broken invariant and its place in the source.
using InvariantHandler = void (*)(std::string_view text, const char* file, int line);

/// Replaces the handler, which by default writes to standard error and aborts.
/// @return the handler that was in force.
InvariantHandler setInvariantHandler(InvariantHandler);

namespace Detail {
    void invariantBroken(std::string_view text, const char* file, int line);
} // namespace Detail

} // namespace Auburnpost

/// Checks @p condition in every build. A host that has broken a promise must not go on.
#define AUBURNPOST_INVARIANT(condition, text)                                                                          \
    do {                                                                                                               \
        if (!(condition)) [[unlikely]]                                                                                 \
            ::Auburnpost::Detail::invariantBroken(text, __FILE__, __LINE__);                                           \
    } while (false)
