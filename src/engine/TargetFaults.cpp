#include "engine/TargetFaults.h"

namespace Auburnpost {

Error statementError(const TargetFault& fault, std::string step, std::string peer)
{
    auto code = ErrorCode::SqlFailed;
    if (fault.sqlState == SqlState::serializationFailure || fault.sqlState == SqlState::lockNotAvailable)
        code = ErrorCode::Conflict;
    return { code, std::move(step), std::move(peer), fault.sqlState + " " + fault.message };
}

} // namespace Auburnpost
