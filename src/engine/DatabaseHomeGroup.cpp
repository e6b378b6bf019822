// How a home carries out what the watch over its group asks for.
#include "engine/DatabaseHome.h"
#include "engine/HomeOperation.h"
#include "engine/WatcherNotes.h"

#include <algorithm>

namespace Auburnpost {

void DatabaseHome::apply(Instant now, const Group::GroupActions& actions)
{
    for (const auto& action : actions)
        std::visit([this, now](const auto& alternative) { apply(now, alternative); }, action);
}

void DatabaseHome::apply(Instant now, const Group::SendCommand& command)
{
    m_links.send(now, command);
}

void DatabaseHome::apply(Instant, const Group::SendVote& vote)
{
    m_owner.sendWatcherNote(vote.to, m_database, writeWatcherNote(vote.vote));
}

void DatabaseHome::apply(Instant now, const Group::DrainWrites& drain)
{
    for (const auto& watcher : drain.watchers) {
        if (watcher != m_self)
            m_owner.sendWatcherNote(watcher, m_database, writeWatcherNote(DrainNote { drain.id, drain.limit }));
    }
    beginDrain(now, m_self, drain.id, drain.limit);
}

void DatabaseHome::apply(Instant now, const Group::ResumeWrites& resume)
{
    for (const auto& watcher : resume.watchers) {
        if (watcher != m_self)
            m_owner.sendWatcherNote(watcher, m_database, writeWatcherNote(ResumeNote { resume.id }));
    }
    endDrain(now, m_self, resume.id);
}

void DatabaseHome::apply(Instant now, const Group::PrimaryLearned&)
{
    moveToPrimary(now);
    restartHeld(now);
}

void DatabaseHome::apply(Instant now, const Group::TermOpened&)
{
    restartHeld(now);
}

void DatabaseHome::apply(Instant now, const Group::Durable& durable)
{
    const auto proof = m_proofs.extract(durable.id.value());
    if (auto* operation = proof ? find(proof.mapped()) : nullptr)
        operation->durable(now);
}

void DatabaseHome::apply(Instant now, const Group::NotDurable& notDurable)
{
    const auto proof = m_proofs.extract(notDurable.id.value());
    if (auto* operation = proof ? find(proof.mapped()) : nullptr)
        operation->notDurable(now, notDurable.reason);
}

void DatabaseHome::apply(Instant now, const Group::Confirmed& confirmed)
{
    const auto proof = m_proofs.extract(confirmed.id.value());
    if (auto* operation = proof ? find(proof.mapped()) : nullptr)
        operation->confirmed(now, confirmed);
}

void DatabaseHome::apply(Instant now, const Group::NotConfirmed& notConfirmed)
{
    const auto proof = m_proofs.extract(notConfirmed.id.value());
    if (auto* operation = proof ? find(proof.mapped()) : nullptr)
        operation->notConfirmed(now, notConfirmed.reason);
}

void DatabaseHome::apply(Instant, const LogRecord& record)
{
    auto named = record;
    const bool namesDatabase = std::any_of(
        record.fields.begin(), record.fields.end(), [](const auto& field) { return field.name == "database"; });
    if (!namesDatabase)
        named.fields.insert(named.fields.begin(), { "database", m_database.value() });
    m_owner.actions().emplace_back(std::move(named));
}

} // namespace Auburnpost
