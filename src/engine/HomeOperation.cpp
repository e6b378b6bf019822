#include "engine/HomeOperation.h"

#include "base/Invariant.h"
#include "engine/HomeServices.h"

namespace Auburnpost {

HomeOperation::HomeOperation(OperationId id, Work work, Instant deadline, HomeServices& services)
    : m_id(id)
    , m_work(std::move(work))
    , m_deadline(deadline)
    , m_services(services)
{
}

void HomeOperation::refused(Instant now, const Error& error, std::optional<Duration> retryAfter)
{
    replyNotRun(now, error, retryAfter);
}

void HomeOperation::replyDone(Instant now, WorkDone done)
{
    AUBURNPOST_INVARIANT(!m_replied, "an operation replies once");
    m_replied = true;
    m_services.reply(now, m_id, std::move(done));
}

void HomeOperation::replyNotRun(Instant now, Error error, std::optional<Duration> retryAfter)
{
    AUBURNPOST_INVARIANT(!m_replied, "an operation replies once");
    m_replied = true;
    m_services.reply(now, m_id, WorkFailed { FailedOutcome::NotRun, std::move(error), retryAfter });
}

void HomeOperation::replyUnknown(Instant now, Error error)
{
    AUBURNPOST_INVARIANT(!m_replied, "an operation replies once");
    m_replied = true;
    m_services.reply(now, m_id, WorkFailed { FailedOutcome::Unknown, std::move(error), std::nullopt });
}

Error HomeOperation::error(ErrorCode code, std::string step, std::string message) const
{
    return { code, std::move(step), m_work.database.value(), std::move(message) };
}

} // namespace Auburnpost
