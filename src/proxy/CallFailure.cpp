#include "proxy/CallFailure.h"

#include <array>

namespace Auburnpost::Proxy {

CallFailure callFailureOf(const Error& error)
{
    switch (error.code) {
    case ErrorCode::NotSent:
        return CallFailure::NotSent;
    case ErrorCode::PlatformRefused:
        return CallFailure::Status;
    case ErrorCode::BadMessage:
        return CallFailure::Rejected;
    default:
        return CallFailure::Unanswered;
    }
}

std::string_view toString(CallFailure failure)
{
    constexpr std::array<std::string_view, 4> texts { "not_sent", "unanswered", "status", "rejected" };
    return texts[static_cast<std::size_t>(failure)];
}

} // namespace Auburnpost::Proxy
