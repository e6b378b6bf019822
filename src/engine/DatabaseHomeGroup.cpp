// Performs the actions that the group watch of a home requests.
#include "engine/DatabaseHome.h"
#include "engine/HomeOperation.h"
#include "engine/WatcherMessages.h"

#include <algorithm>

namespace Auburnpost {

void DatabaseHome::perform(Instant now, const Group::GroupActions& actions)
{
    for (const auto& action : actions)
        std::visit([this, now](const auto& alternative) { perform(now, alternative); }, action);
}

void DatabaseHome::perform(Instant now, const Group::SendCommand& command)
{
    m_groupConnections.send(now, command);
}

void DatabaseHome::perform(Instant, const Group::SendVote& vote)
{
    m_delegate.sendWatcherMessage(vote.to, m_database, writeWatcherMessage(vote.vote));
}

void DatabaseHome::perform(Instant now, const Group::DrainWrites& drain)
{
    for (const auto& watcher : drain.watchers) {
        if (watcher != m_self)
            m_delegate.sendWatcherMessage(
                watcher, m_database, writeWatcherMessage(DrainRequest { drain.id, drain.limit }));
    }
    beginDrain(now, m_self, drain.id, drain.limit);
}

void DatabaseHome::perform(Instant now, const Group::ResumeWrites& resume)
{
    for (const auto& watcher : resume.watchers) {
        if (watcher != m_self)
            m_delegate.sendWatcherMessage(watcher, m_database, writeWatcherMessage(ResumeRequest { resume.id }));
    }
    endDrain(now, m_self, resume.id);
}

void DatabaseHome::perform(Instant now, const Group::PrimaryLearned&)
{
    moveToNewPrimary(now);
    restartHeldOperations(now);
}

void DatabaseHome::perform(Instant now, const Group::TermOpened&)
{
    restartHeldOperations(now);
}

void DatabaseHome::perform(Instant now, const Group::Durable& durable)
{
    const auto pendingWait = m_pendingWaits.extract(durable.id.value());
    if (auto* operation = pendingWait ? find(pendingWait.mapped()) : nullptr)
        operation->onDurable(now);
}

void DatabaseHome::perform(Instant now, const Group::NotDurable& notDurable)
{
    const auto pendingWait = m_pendingWaits.extract(notDurable.id.value());
    if (auto* operation = pendingWait ? find(pendingWait.mapped()) : nullptr)
        operation->onNotDurable(now, notDurable.reason);
}

void DatabaseHome::perform(Instant now, const Group::Confirmed& confirmed)
{
    const auto pendingWait = m_pendingWaits.extract(confirmed.id.value());
    if (auto* operation = pendingWait ? find(pendingWait.mapped()) : nullptr)
        operation->onConfirmed(now, confirmed);
}

void DatabaseHome::perform(Instant now, const Group::NotConfirmed& notConfirmed)
{
    const auto pendingWait = m_pendingWaits.extract(notConfirmed.id.value());
    if (auto* operation = pendingWait ? find(pendingWait.mapped()) : nullptr)
        operation->onNotConfirmed(now, notConfirmed.reason);
}

void DatabaseHome::perform(Instant, const LogRecord& record)
{
    auto named = record;
    const bool namesDatabase = std::any_of(
        record.fields.begin(), record.fields.end(), [](const auto& field) { return field.name == "database"; });
    if (!namesDatabase)
        named.fields.insert(named.fields.begin(), { "database", m_database.value() });
    m_delegate.actions().emplace_back(std::move(named));
}

} // namespace Auburnpost
