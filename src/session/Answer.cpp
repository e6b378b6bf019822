#include "session/Answer.h"

#include <array>

namespace Auburnpost::Session {

namespace {

    struct CodeProperties {
        std::string_view text;
        bool guaranteesNotRun;
    };

    /// Indexed by FailureCode.
    constexpr std::array<CodeProperties, 14> codeProperties { {
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
        { "unknown_key", false },
    } };

    const CodeProperties& propertiesOf(FailureCode code)
    {
        return codeProperties.at(static_cast<std::size_t>(code));
    }

} // namespace

std::string_view toString(FailureCode code)
{
    return propertiesOf(code).text;
}

bool guaranteesNotRun(FailureCode code)
{
    return propertiesOf(code).guaranteesNotRun;
}

} // namespace Auburnpost::Session
