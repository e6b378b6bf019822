#include "config/SectionEdit.h"

#include "base/Invariant.h"
#include "config/Backoff.h"
#include "config/DocumentReader.h"
#include "config/DocumentRow.h"
#include "config/DocumentText.h"
#include "config/PlatformStatus.h"
#include "config/StoredDocument.h"

#include <algorithm>

namespace Auburnpost::Config {

namespace {

    constexpr auto readStep = "read document";
    constexpr auto writeStep = "write document";
    constexpr auto platformPeer = "platform";

    /// @return whether the status means that the platform did not execute the call and never will.
    bool isRefusal(int status)
    {
        return status >= PlatformStatus::firstClientError && status < PlatformStatus::firstServerError
            && status != PlatformStatus::preconditionFailed;
    }

    Error statusError(const char* step, int status)
    {
        const auto code
            = status >= PlatformStatus::firstServerError ? ErrorCode::PlatformUnavailable : ErrorCode::PlatformRefused;
        return { code, step, platformPeer, "status " + std::to_string(status) };
    }

} // namespace

SectionEdit::SectionEdit(EditRequest request, EditLimits limits, PlatformCallIdGenerator ids)
    : m_request(std::move(request))
    , m_limits(limits)
    , m_ids(std::move(ids))
    , m_text(std::make_unique<DocumentText>(m_request.text, m_request.section))
{
}

SectionEdit::~SectionEdit() = default;
SectionEdit::SectionEdit(SectionEdit&&) noexcept = default;
SectionEdit& SectionEdit::operator=(SectionEdit&&) noexcept = default;

std::vector<PlatformCall> SectionEdit::start(Instant now)
{
    AUBURNPOST_INVARIANT(!m_request.id.empty(), "an edit needs an id");
    m_deadline = now + m_limits.timeout;
    if (!m_request.section.empty() && !isSection(m_request.section)) {
        finish(EditInvalid { { { ProblemSeverity::Error, m_request.section, "", 0, "unknown section" } } });
        return {};
    }
    if (hasErrors(m_text->problems())) {
        finish(EditInvalid { m_text->problems() });
        return {};
    }
    if (!m_request.base)
        m_request.base = m_text->version();
    return read();
}

std::vector<PlatformCall> SectionEdit::onAnswer(Instant now, RandomEngine& random, const PlatformAnswer& answer)
{
    if (m_outcome || m_stage == Stage::Waiting || answer.id != m_pendingCall)
        return {};
    return m_stage == Stage::Reading ? onRead(now, random, answer) : onWritten(now, random, answer);
}

std::vector<PlatformCall> SectionEdit::onTimer(Instant now)
{
    if (m_outcome)
        return {};
    if (now >= m_deadline) {
        m_lastError.code = ErrorCode::DeadlineExceeded;
        abandon(m_lastError);
        return {};
    }
    if (m_stage == Stage::Waiting && now >= m_retryAt)
        return read();
    return {};
}

std::optional<Instant> SectionEdit::nextTimer() const
{
    if (m_outcome)
        return std::nullopt;
    return m_stage == Stage::Waiting ? std::min(m_retryAt, m_deadline) : m_deadline;
}

std::vector<PlatformCall> SectionEdit::send(PlatformCall call)
{
    m_lastError.step = call.method == PlatformMethod::Get ? readStep : writeStep;
    m_lastError.peer = platformPeer;
    ++m_calls;
    call.id = m_ids();
    call.path = documentRowPath;
    call.timeout = m_limits.callTimeout;
    m_pendingCall = call.id;
    return { std::move(call) };
}

std::vector<PlatformCall> SectionEdit::read()
{
    m_stage = Stage::Reading;
    return send({});
}

std::vector<PlatformCall> SectionEdit::write(const StoredDocument& stored)
{
    const auto next = stored.withEdit(m_request.id, m_request.section, m_text->sections());
    m_stage = Stage::Writing;
    m_writesOnVersion = m_unresolvedBase == stored.version() ? m_writesOnVersion + 1 : 1;
    m_unresolvedBase = stored.version();
    m_writtenBytes = next.toText();
    PlatformCall call;
    call.method = PlatformMethod::Put;
    call.body = m_writtenBytes;
    call.expectedVersion = stored.version().value();
    return send(std::move(call));
}

std::vector<PlatformCall> SectionEdit::retryLater(Instant now, RandomEngine& random, Error error)
{
    m_lastError = std::move(error);
    if (m_calls >= m_limits.maxCalls) {
        abandon(m_lastError);
        return {};
    }
    m_stage = Stage::Waiting;
    m_retryAt = now + backoff(m_limits.retryDelay, m_limits.retryDelayLimit, m_failures++, random);
    return {};
}

std::vector<PlatformCall> SectionEdit::onRead(Instant now, RandomEngine& random, const PlatformAnswer& answer)
{
    if (!answer.reply)
        return retryLater(now, random, answer.reply.error());
    const auto& reply = *answer.reply;
    if (reply.status != PlatformStatus::ok && reply.status != PlatformStatus::notFound)
        return retryLater(now, random, statusError(readStep, reply.status));
    const auto bytes = reply.status == PlatformStatus::ok ? reply.body : std::string();
    const ConfigVersion version(reply.status == PlatformStatus::ok ? reply.version.value_or(0) : 0);
    const auto stored = StoredDocument::parse(bytes, version);
    if (!stored) {
        abandon(stored.error());
        return {};
    }
    return onDocumentRead(now, random, *stored, bytes);
}

std::vector<PlatformCall> SectionEdit::onDocumentRead(
    Instant now, RandomEngine& random, const StoredDocument& stored, const std::string& bytes)
{
    if (stored.version() < m_highestRowVersion)
        return retryLater(now, random,
            { ErrorCode::PlatformRefused, readStep, platformPeer, "answered an older version than before" });
    m_highestRowVersion = stored.version();
    if (const auto createdVersion = stored.findEdit(m_request.id)) {
        finish(EditAccepted { *createdVersion, stored.version(), bytes, m_warnings });
        return {};
    }
    if (!resolvePendingWrite(stored)) {
        abandon({ ErrorCode::PlatformUnavailable, readStep, platformPeer, "too many edits came after this one" });
        return {};
    }
    return checkAndWrite(stored);
}

/// A write with base version v can only have created version v + 1. Once the row's version is above v, the edit history
/// in the row shows whether the write took effect.
bool SectionEdit::resolvePendingWrite(const StoredDocument& stored)
{
    if (!m_unresolvedBase || stored.version() == *m_unresolvedBase)
        return true;
    AUBURNPOST_INVARIANT(
        stored.version() > *m_unresolvedBase, "an edit was written with a base version that the row never had");
    if (!stored.hasAllEditsSince(*m_unresolvedBase))
        return false;
    m_unresolvedBase.reset();
    return true;
}

std::vector<PlatformCall> SectionEdit::checkAndWrite(const StoredDocument& stored)
{
    if (!m_request.base)
        m_request.base = stored.version();
    const auto lastChange = stored.sectionVersion(m_request.section);
    if (lastChange > *m_request.base || *m_request.base > stored.version()) {
        finish(EditConflict { *m_request.base, lastChange });
        return {};
    }
    const auto next = stored.withEdit(m_request.id, m_request.section, m_text->sections());
    auto parsed = readSections(next.sections(), next.version());
    m_text->locate(parsed.problems);
    if (!parsed.isAccepted()) {
        finish(EditInvalid { std::move(parsed.problems) });
        return {};
    }
    m_warnings = std::move(parsed.problems);
    return write(stored);
}

std::vector<PlatformCall> SectionEdit::onWritten(Instant now, RandomEngine& random, const PlatformAnswer& answer)
{
    if (!answer.reply)
        return retryLater(now, random, answer.reply.error());
    const auto& reply = *answer.reply;
    const auto writtenVersion = m_unresolvedBase->value() + 1;
    if (reply.status == PlatformStatus::ok && reply.version.value_or(writtenVersion) == writtenVersion) {
        finish(
            EditAccepted { ConfigVersion(writtenVersion), ConfigVersion(writtenVersion), m_writtenBytes, m_warnings });
        return {};
    }
    if (reply.status == PlatformStatus::preconditionFailed && m_calls < m_limits.maxCalls)
        return read();
    if (isRefusal(reply.status) && m_writesOnVersion == 1) {
        m_unresolvedBase.reset();
        abandon(statusError(writeStep, reply.status));
        return {};
    }
    return retryLater(now, random, statusError(writeStep, reply.status));
}

void SectionEdit::finish(EditOutcome outcome)
{
    const bool isRefused
        = std::holds_alternative<EditConflict>(outcome) || std::holds_alternative<EditInvalid>(outcome);
    AUBURNPOST_INVARIANT(
        !isRefused || !m_unresolvedBase, "an edit was rejected while one of its writes may still take effect");
    m_outcome = std::move(outcome);
}

void SectionEdit::abandon(Error error)
{
    const auto outcome = m_unresolvedBase ? FailedOutcome::Unknown : FailedOutcome::NotRun;
    finish(EditFailed { outcome, std::move(error) });
}

} // namespace Auburnpost::Config
