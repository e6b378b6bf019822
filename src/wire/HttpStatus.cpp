#include "wire/HttpStatus.h"

namespace Auburnpost::Wire {

namespace {

    struct StatusOfCode {
        ErrorCode code;
        int status;
    };

    constexpr int serviceUnavailable = 503;

    /// Codes that are not listed are answered with 503.
    constexpr StatusOfCode statusTable[] = {
        { ErrorCode::BadRequest, 400 },
        { ErrorCode::MethodNotAllowed, 405 },
        { ErrorCode::BadJson, 400 },
        { ErrorCode::HeaderTooLarge, 400 },
        { ErrorCode::BodyTooLarge, 400 },
        { ErrorCode::BadSession, 400 },
        { ErrorCode::ReadOnly, 400 },
        { ErrorCode::SqlFailed, 400 },
        { ErrorCode::BadDocument, 400 },
        { ErrorCode::Unauthorised, 401 },
        { ErrorCode::Forbidden, 403 },
        { ErrorCode::UnknownOrganisation, 404 },
        { ErrorCode::UnknownDatabase, 404 },
        { ErrorCode::UnknownTransaction, 404 },
        { ErrorCode::KeyReused, 409 },
        { ErrorCode::Conflict, 409 },
        { ErrorCode::TransactionLost, 409 },
        { ErrorCode::OrganisationLimit, 429 },
        { ErrorCode::TransactionLimit, 429 },
        { ErrorCode::DeadlineExceeded, 504 },
    };

} // namespace

int httpStatus(ErrorCode code)
{
    for (const auto& entry : statusTable) {
        if (entry.code == code)
            return entry.status;
    }
    return serviceUnavailable;
}

} // namespace Auburnpost::Wire
