#pragma once

#include <string_view>

namespace Auburnpost {

/// Error categories, documented in docs/CALLERS.md. Callers and operators receive the text form of toString().
enum class ErrorCode {
    BadRequest,
    MethodNotAllowed,
    BadJson,
    HeaderTooLarge,
    BodyTooLarge,
    Unauthorised,
    Forbidden,
    UnknownOrganisation,
    UnknownDatabase,
    UnknownTransaction,
    BadSession,
    KeyReused,
    ReadOnly,
    SqlFailed,
    Conflict,
    Overloaded,
    OrganisationLimit,
    RetryBudgetSpent,
    DeadlineExceeded,
    NoPrimary,
    NotPrimary,
    NoFreshTarget,
    NoHome,
    NoConfiguration,
    ConnectionRefused,
    ConnectionLost,
    TooManyConnections,
    PeerUnreachable,
    PlatformUnavailable,
    PlatformRefused,
    NotSent,
    TransactionLost,
    TransactionLimit,
    Leaving,
    BadSettings,
    BadDocument,
    BadMessage,
    Internal,
};

/// @return the text form, in lower case with underscores, such as "no_primary".
std::string_view toString(ErrorCode);

} // namespace Auburnpost
