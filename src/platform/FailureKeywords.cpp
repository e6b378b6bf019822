#include "platform/FailureKeywords.h"

#include <array>

namespace Auburnpost::Platform {

using Session::FailureCode;

namespace {

    struct Entry {
        FailureCode code;
        std::string_view keyword;
    };

    constexpr std::array<Entry, 14> entries { {
        { FailureCode::Busy, "BUSY" },
        { FailureCode::Aborted, "ABORTED" },
        { FailureCode::Lagging, "LAGGING" },
        { FailureCode::ReadOnly, "READONLY" },
        { FailureCode::Misrouted, "MISROUTED" },
        { FailureCode::TooManyConnections, "TOOMANY" },
        { FailureCode::Failed, "FAILED" },
        { FailureCode::UnknownPreparedName, "NOSUCHNAME" },
        { FailureCode::Timeout, "TIMEOUT" },
        { FailureCode::UnknownDatabase, "NODATABASE" },
        { FailureCode::TooLarge, "TOOLARGE" },
        { FailureCode::Malformed, "MALFORMED" },
        { FailureCode::InDoubt, "INDOUBT" },
        { FailureCode::UnknownKey, "UNKNOWNKEY" },
    } };

} // namespace

std::string_view keywordOf(FailureCode code)
{
    for (const auto& entry : entries) {
        if (entry.code == code)
            return entry.keyword;
    }
    return "FAILED";
}

FailureCode failureCodeOf(std::string_view keyword)
{
    for (const auto& entry : entries) {
        if (entry.keyword == keyword)
            return entry.code;
    }
    return FailureCode::Failed;
}

} // namespace Auburnpost::Platform
