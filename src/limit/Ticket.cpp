#include "limit/Ticket.h"

namespace Auburnpost::Limit {

ErrorCode AdmissionRefusal::code() const
{
    switch (reason) {
    case RefusalReason::QueueFull:
    case RefusalReason::WaitedTooLong:
        return ErrorCode::Overloaded;
    case RefusalReason::DeadlineUnreachable:
        return ErrorCode::DeadlineExceeded;
    case RefusalReason::OrganisationShare:
        return ErrorCode::OrganisationLimit;
    }
    return ErrorCode::Overloaded;
}

} // namespace Auburnpost::Limit
