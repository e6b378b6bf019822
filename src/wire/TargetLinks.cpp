#include "wire/TargetLinks.h"

#include "base/Invariant.h"
#include "wire/LoopTime.h"
#include "wire/SocketOptions.h"
#include "wire/TargetLink.h"

namespace Auburnpost::Wire {

/// A connection with its events.
struct TargetLinks::Entry {
    Entry(TargetLinks& owner, TargetLinkSettings settings)
        : links(owner)
        , id(settings.id)
        , link(std::move(settings))
    {
    }

    TargetLinks& links;
    ConnectionId id;
    TargetLink link;
    /// Why the connection ended within open() or send(), until it is reported from the loop.
    std::optional<Error> pendingError;
    LinkInterest watched;
    int watchedDescriptor { -1 };
    // Declared after the link, so that they are gone before its descriptor is closed.
    EventPointer timer;
    EventPointer ready;
};

/// What libevent calls. The entry may be gone when the call comes back.
struct TargetLinks::Callbacks {
    static void ready(evutil_socket_t, short, void* argument)
    {
        auto* const entry = static_cast<Entry*>(argument);
        entry->links.onReady(entry->id);
    }

    static void timer(evutil_socket_t, short, void* argument)
    {
        auto* const entry = static_cast<Entry*>(argument);
        if (entry->pendingError)
            entry->links.lose(entry->id, Error(*entry->pendingError));
        else
            entry->links.onConnectTimeout(entry->id);
    }
};

TargetLinks::TargetLinks(event_base* base, HostName self, DataCentreName dataCentre, Duration connectTimeout)
    : m_base(base)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_connectTimeout(connectTimeout)
{
    ignoreBrokenPipe();
}

TargetLinks::~TargetLinks() = default;

void TargetLinks::open(
    ConnectionId id, const TargetName& target, const SocketAddress& address, const DatabaseName& database)
{
    auto entry = std::make_unique<Entry>(*this,
        TargetLinkSettings {
            id, target, address, database, m_self.value(), m_self.value() + "/" + m_dataCentre.value() });
    auto& added = *entry;
    const bool isNew = m_links.emplace(id, std::move(entry)).second;
    AUBURNPOST_INVARIANT(isNew, "a connection's id is used once");
    added.timer.reset(evtimer_new(m_base, &Callbacks::timer, &added));
    const auto timeout = toTimeval(m_connectTimeout);
    evtimer_add(added.timer.get(), &timeout);
    if (added.link.descriptor() >= 0)
        return watch(added);
    const auto progress = added.link.advance();
    postpone(added, std::get<Error>(progress));
}

void TargetLinks::postpone(Entry& entry, const Error& error)
{
    entry.pendingError = error;
    event_active(entry.timer.get(), EV_TIMEOUT, 0);
}

void TargetLinks::watch(Entry& entry)
{
    const auto wanted = entry.link.interest();
    const int descriptor = entry.link.descriptor();
    if (wanted == entry.watched && descriptor == entry.watchedDescriptor)
        return;
    const auto flags = static_cast<short>(EV_PERSIST | (wanted.read ? EV_READ : 0) | (wanted.write ? EV_WRITE : 0));
    entry.ready.reset(event_new(m_base, descriptor, flags, &Callbacks::ready, &entry));
    event_add(entry.ready.get(), nullptr);
    entry.watched = wanted;
    entry.watchedDescriptor = descriptor;
}

void TargetLinks::onReady(ConnectionId id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end() || found->second->pendingError)
        return;
    auto& entry = *found->second;
    const auto progress = entry.link.advance();
    if (const auto* const error = std::get_if<Error>(&progress))
        return lose(id, *error);
    watch(entry);
    if (const auto* const opening = std::get_if<LinkOpened>(&progress)) {
        evtimer_del(entry.timer.get());
        m_opened.emit(id, opening->standing);
    } else if (const auto* const answer = std::get_if<TargetAnswer>(&progress))
        m_answered.emit(*answer);
}

void TargetLinks::onConnectTimeout(ConnectionId id)
{
    const auto& link = m_links.at(id)->link;
    lose(id,
        link.failure(
            ErrorCode::ConnectionLost, "not open within " + std::to_string(toMilliseconds(m_connectTimeout)) + " ms"));
}

void TargetLinks::lose(ConnectionId id, const Error& error)
{
    const TargetConnectionLost loss { id, error };
    m_links.erase(id);
    m_lost.emit(loss);
}

void TargetLinks::send(const TargetCommand& command)
{
    const auto found = m_links.find(command.connection);
    if (found == m_links.end() || found->second->pendingError)
        return;
    auto& entry = *found->second;
    const auto sent = entry.link.send(command);
    if (sent)
        watch(entry);
    else
        postpone(entry, sent.error());
}

void TargetLinks::close(ConnectionId id)
{
    m_links.erase(id);
}

} // namespace Auburnpost::Wire
