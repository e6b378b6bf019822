#include "session/Answer.h"

#include <array>

namespace Auburnpost::Session {

namespace {

    struct CodeFacts {
        std::string_view text;
        bool promisesNotRun;
    };

    /// Indexed by FailureCode.
    constexpr std::array<CodeFacts, 13> codeFacts { {
        { "busy", true },
        { "aborted", true },
        { "lagging", true },
        { "read_only", true },
        { "misrouted", true },
        { "too_many_connections", true },
        { "failed", false },
        { "unknown_prepared_name", false },
        { "timeout", false },
        { "unknown_database", false },
        { "too_large", false },
        { "malformed", false },
        { "in_doubt", false },
    } };

    const CodeFacts& factsOf(FailureCode code)
    {
        return codeFacts.at(static_cast<std::size_t>(code));
    }

} // namespace

std::string_view toString(FailureCode code)
{
    return factsOf(code).text;
}

bool promisesNotRun(FailureCode code)
{
    return factsOf(code).promisesNotRun;
}

} // namespace Auburnpost::Session
