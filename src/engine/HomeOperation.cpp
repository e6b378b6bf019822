#include "engine/HomeOperation.h"

#include "base/Invariant.h"
#include "engine/HomeServices.h"

namespace Auburnpost {

HomeOperation::HomeOperation(OperationId id, HomeRequest homeRequest, Instant deadline, HomeServices& services)
    : m_id(id)
    , m_homeRequest(std::move(homeRequest))
    , m_deadline(deadline)
    , m_services(services)
{
}

void HomeOperation::onConnectionRefused(Instant now, const Error& error, std::optional<Duration> retryAfter)
{
    replyNotRun(now, error, retryAfter);
}

void HomeOperation::replySuccess(Instant now, HomeResult success)
{
    AUBURNPOST_INVARIANT(!m_replied, "an operation replies once");
    m_replied = true;
    m_services.reply(now, m_id, std::move(success));
}

void HomeOperation::replyNotRun(Instant now, Error error, std::optional<Duration> retryAfter)
{
    AUBURNPOST_INVARIANT(!m_replied, "an operation replies once");
    m_replied = true;
    m_services.reply(now, m_id, HomeFailure { FailedOutcome::NotRun, std::move(error), retryAfter });
}

void HomeOperation::replyUnknown(Instant now, Error error)
{
    AUBURNPOST_INVARIANT(!m_replied, "an operation replies once");
    m_replied = true;
    m_services.reply(now, m_id, HomeFailure { FailedOutcome::Unknown, std::move(error), std::nullopt });
}

Error HomeOperation::error(ErrorCode code, std::string step, std::string message) const
{
    return { code, std::move(step), m_homeRequest.database.value(), std::move(message) };
}

} // namespace Auburnpost
