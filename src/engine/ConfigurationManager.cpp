#include "engine/ConfigurationManager.h"

#include "config/StoredDocument.h"

#include <nlohmann/json.hpp>

namespace Auburnpost {

namespace {

    using Json = nlohmann::json;

    Config::PollTimings makePollTimings(const Config::PlatformSettings& settings)
    {
        Config::PollTimings result;
        result.interval = settings.configPollInterval;
        result.backoffLimit = settings.configPollBackoff;
        result.callTimeout = settings.callTimeout;
        return result;
    }

    std::string describeAll(const std::vector<Config::DocumentProblem>& problems)
    {
        std::string lines;
        for (const auto& problem : problems)
            lines += (lines.empty() ? "" : "\n") + problem.describe();
        return lines;
    }

    AnswerOperator makeAnswer(RequestId id, const Config::EditAccepted& accepted)
    {
        auto warnings = Json::array();
        for (const auto& problem : accepted.warnings)
            warnings.push_back(problem.describe());
        const Json body { { "version", accepted.version.value() }, { "warnings", std::move(warnings) } };
        return { id, body.dump(), accepted.version };
    }

    AnswerOperator makeAnswer(RequestId id, const Config::EditConflict& conflict)
    {
        Error error { ErrorCode::Conflict, "edit", "",
            "the section was changed at version " + std::to_string(conflict.sectionVersion.value())
                + ", after the version " + std::to_string(conflict.base.value()) + " that the edit started from" };
        return { id, Refusal { FailedOutcome::NotRun, std::move(error), std::nullopt }, conflict.sectionVersion };
    }

    AnswerOperator makeAnswer(RequestId id, const Config::EditInvalid& invalid)
    {
        Error error { ErrorCode::BadDocument, "check edit", "", describeAll(invalid.problems) };
        return { id, Refusal { FailedOutcome::NotRun, std::move(error), std::nullopt }, std::nullopt };
    }

    AnswerOperator makeAnswer(RequestId id, const Config::EditFailed& failed)
    {
        return { id, Refusal { failed.outcome, failed.error, std::nullopt }, std::nullopt };
    }

} // namespace

ConfigurationManager::ConfigurationManager(
    const Config::PlatformSettings& settings, RandomEngine& random, ConfigurationManagerDelegate& delegate)
    : m_callTimeout(settings.callTimeout)
    , m_random(random)
    , m_delegate(delegate)
    , m_poll(m_store, makePollTimings(settings), [this] { return m_delegate.nextPlatformCall(); })
{
}

void ConfigurationManager::tick(Instant now)
{
    if (!m_started) {
        m_started = true;
        perform(now, m_poll.start(now));
    }
    if (now >= m_poll.nextTimer())
        perform(now, m_poll.onTimer(now, m_random));
    for (auto& [id, edit] : m_edits) {
        if (const auto timer = edit.nextTimer(); timer && now >= *timer)
            sendCalls(edit.onTimer(now));
    }
    finishEdits(now);
}

void ConfigurationManager::handlePlatformAnswer(Instant now, const PlatformAnswer& answer)
{
    perform(now, m_poll.onPlatformAnswer(now, m_random, answer));
    for (auto& [id, edit] : m_edits)
        sendCalls(edit.onAnswer(now, m_random, answer));
    finishEdits(now);
}

void ConfigurationManager::handlePeerVersion(Instant now, const HostName& peer, ConfigVersion version)
{
    perform(now, m_poll.onPeerVersion(now, peer, version));
}

void ConfigurationManager::handlePeerDocument(
    Instant now, const HostName& peer, ConfigVersion version, std::string bytes)
{
    perform(now, m_poll.onPeerDocument(now, peer, version, std::move(bytes)));
}

void ConfigurationManager::startEdit(Instant now, const SectionPut& put, std::string editId)
{
    Config::EditLimits limits;
    limits.callTimeout = m_callTimeout;
    Config::EditRequest request { std::move(editId), put.section, put.text, put.base };
    const auto [entry, added]
        = m_edits.try_emplace(put.id, std::move(request), limits, [this] { return m_delegate.nextPlatformCall(); });
    sendCalls(entry->second.start(now));
    finishEdits(now);
}

void ConfigurationManager::finishEdits(Instant now)
{
    for (auto entry = m_edits.begin(); entry != m_edits.end();) {
        if (!entry->second.outcome()) {
            ++entry;
            continue;
        }
        const auto id = entry->first;
        const auto outcome = *entry->second.outcome();
        entry = m_edits.erase(entry);
        if (const auto* accepted = std::get_if<Config::EditAccepted>(&outcome))
            perform(now, m_poll.onEditAccepted(now, accepted->rowVersion, accepted->rowBytes));
        answerOperator(now, id, outcome);
    }
}

void ConfigurationManager::answerOperator(Instant, RequestId id, const Config::EditOutcome& outcome)
{
    m_delegate.actions().emplace_back(
        std::visit([id](const auto& alternative) { return makeAnswer(id, alternative); }, outcome));
}

void ConfigurationManager::sendCalls(std::vector<PlatformCall> calls)
{
    for (auto& platformCall : calls)
        m_delegate.actions().emplace_back(std::move(platformCall));
}

void ConfigurationManager::perform(Instant now, const Config::DocumentPoll::Actions& actions)
{
    for (const auto& action : actions)
        std::visit([this, now](const auto& alternative) { perform(now, alternative); }, action);
}

void ConfigurationManager::perform(Instant, const PlatformCall& platformCall)
{
    m_delegate.actions().emplace_back(platformCall);
}

void ConfigurationManager::perform(Instant now, const Config::RequestPeerDocument& peerRequest)
{
    if (!m_delegate.requestDocument(peerRequest.peer))
        perform(now, m_poll.onPeerFailed(now, peerRequest.peer));
}

void ConfigurationManager::perform(Instant now, const Config::DocumentInstalled&)
{
    m_delegate.handleNewDocument(now);
}

void ConfigurationManager::perform(Instant, const LogRecord& record)
{
    m_delegate.actions().emplace_back(record);
}

const Config::Document* ConfigurationManager::document() const
{
    return m_store.hasDocument() ? &m_store.document() : nullptr;
}

std::string ConfigurationManager::sectionText(const std::string& section) const
{
    const auto stored = Config::StoredDocument::parse(m_store.bytes(), m_store.version());
    if (!m_store.hasDocument() || !stored)
        return {};
    if (section.empty())
        return Json { { "sections", stored->sections() } }.dump(2);
    const auto found = stored->sections().find(section);
    return found == stored->sections().end() ? std::string() : found->dump(2);
}

} // namespace Auburnpost
