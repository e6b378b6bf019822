#include "base/Invariant.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace Auburnpost {

namespace {

    void writeAndAbort(std::string_view text, const char* file, int line)
    {
        std::fprintf(
            stderr, "invariant violated at %s:%d: %.*s\n", file, line, static_cast<int>(text.size()), text.data());
        std::abort();
    }

    InvariantHandler handler = writeAndAbort;

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler replacement)
{
    return std::exchange(handler, replacement);
}

void Detail::invariantViolated(std::string_view text, const char* file, int line)
{
    handler(text, file, line);
}

} // namespace Auburnpost
