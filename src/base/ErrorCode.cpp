#include "base/ErrorCode.h"

namespace Auburnpost {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
        return "bad_request";
    case ErrorCode::MethodNotAllowed:
        return "method_not_allowed";
    case ErrorCode::BadJson:
        return "bad_json";
    case ErrorCode::HeaderTooLarge:
        return "header_too_large";
    case ErrorCode::BodyTooLarge:
        return "body_too_large";
    case ErrorCode::Unauthorised:
        return "unauthorised";
    case ErrorCode::Forbidden:
        return "forbidden";
    case ErrorCode::UnknownOrganisation:
        return "unknown_organisation";
    case ErrorCode::UnknownDatabase:
        return "unknown_database";
    case ErrorCode::UnknownTransaction:
        return "unknown_transaction";
    case ErrorCode::BadSession:
        return "bad_session";
    case ErrorCode::KeyReused:
        return "key_reused";
    case ErrorCode::ReadOnly:
        return "read_only";
    case ErrorCode::SqlFailed:
        return "sql_failed";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::OrganisationLimit:
        return "organisation_limit";
    case ErrorCode::RetryBudgetSpent:
        return "retry_budget_spent";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::NoPrimary:
        return "no_primary";
    case ErrorCode::NotPrimary:
        return "not_primary";
    case ErrorCode::NoFreshTarget:
        return "no_fresh_target";
    case ErrorCode::NoHome:
        return "no_home";
    case ErrorCode::NoConfiguration:
        return "no_configuration";
    case ErrorCode::ConnectionRefused:
        return "connection_refused";
    case ErrorCode::ConnectionLost:
        return "connection_lost";
    case ErrorCode::TooManyConnections:
        return "too_many_connections";
    case ErrorCode::PeerUnreachable:
        return "peer_unreachable";
    case ErrorCode::PlatformUnavailable:
        return "platform_unavailable";
    case ErrorCode::PlatformRefused:
        return "platform_refused";
    case ErrorCode::NotSent:
        return "not_sent";
    case ErrorCode::TransactionLost:
        return "transaction_lost";
    case ErrorCode::TransactionLimit:
        return "transaction_limit";
    case ErrorCode::Leaving:
        return "leaving";
    case ErrorCode::BadSettings:
        return "bad_settings";
    case ErrorCode::BadDocument:
        return "bad_document";
    case ErrorCode::BadMessage:
        return "bad_message";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace Auburnpost
