#include "proxy/ConfigurationHost.h"
#include "proxy/ConfigurationSimulation.h"
#include "proxy/PeerSnapshot.h"

namespace Auburnpost::Proxy {

namespace {

    /// Timeout of a host's calls for leases, members and its own record.
    constexpr Duration storeCallTimeout = std::chrono::milliseconds(900);
    constexpr Duration refusalDelay = std::chrono::milliseconds(1);

    tl::unexpected<Error> callFailure(const char* reason)
    {
        return fail(ErrorCode::PlatformUnavailable, "call", "store", reason);
    }

} // namespace

template <typename Page>
std::function<void(const Expected<Page>&)> ConfigurationHost::startCall(
    Duration timeout, std::function<void(const Expected<Page>&)> handle)
{
    const auto end = [handle = std::move(handle), isEnded = std::make_shared<bool>(false)](const Expected<Page>& page) {
        if (!std::exchange(*isEnded, true))
            handle(page);
    };
    runAfter(timeout, [end] { end(callFailure("no answer in time")); });
    return end;
}

void ConfigurationHost::callStore(Duration timeout, const StoreRequest& request, const PageHandler& handle)
{
    const auto call = ++m_lastStoreCall;
    const auto end = startCall<StorePage>(timeout, [this, call, handle](const Expected<StorePage>& page) {
        m_storeConnections.end(call);
        handle(page);
    });
    m_storeConnections.start(call, [this, request, end] { sendToStore(request, end); });
}

void ConfigurationHost::sendToStore(const StoreRequest& request, const PageHandler& end)
{
    if (m_simulation.isStoreSilent(m_index))
        return;
    m_simulation.after(m_simulation.storeDelay(m_index), [this, end, request] {
        if (m_simulation.isStoreRefusing(m_index)) {
            deliver(m_simulation.storeDelay(m_index) + refusalDelay, [end] { end(callFailure("429")); });
            return;
        }
        request([this, end](const StorePage& page) {
            if (!m_simulation.isStoreSilent(m_index))
                deliver(m_simulation.storeDelay(m_index), [end, page] { end(page); });
        });
    });
}

template <typename Page>
std::function<void(const Expected<Page>&)> ConfigurationHost::cancellable(
    StoreTable table, StoreCallSlot slot, std::function<void(const Expected<Page>&)> handle)
{
    const auto call = ++m_lastStoreCall;
    m_tableCalls[{ table, slot }] = call;
    return [this, table, slot, call, handle = std::move(handle)](const Expected<Page>& page) {
        if (m_tableCalls.at({ table, slot }) == call)
            handle(page);
    };
}

void ConfigurationHost::cancelCall(StoreTable table, StoreCallSlot slot)
{
    m_tableCalls.at({ table, slot }) = 0;
}

void ConfigurationHost::callForTable(const TableCall& call, const StoreRequest& request, const PageHandler& handle)
{
    if (call.table == StoreTable::Hosts) {
        callStore(call.timeout, request, handle);
        return;
    }
    const auto fault = m_simulation.nextCallFault(m_index, call.table);
    const auto cancellableHandle = cancellable<StorePage>(call.table, call.slot, handle);
    if (fault == CallFault::NeverEnds)
        return;
    const auto end = startCall<StorePage>(call.timeout, cancellableHandle);
    if (fault) {
        callWithFault(*fault, call, request, end);
        return;
    }
    const auto failure = m_simulation.nextFailure(m_index, call.isRead);
    if (!failure) {
        sendToStore(request, end);
        return;
    }
    if (failure == SeriesFailure::NoAnswer)
        return;
    Expected<StorePage> answer = StorePage {};
    if (failure == SeriesFailure::Refused)
        answer = callFailure("503");
    else if (!call.isRead)
        answer->isHistoryUnavailable = true;
    deliver(2 * m_simulation.storeDelay(m_index), [end, answer] { end(answer); });
}

void ConfigurationHost::callWithFault(
    CallFault fault, const TableCall& call, const StoreRequest& request, const PageHandler& end)
{
    const auto answer = [this, end](const Expected<StorePage>& page, Duration delay = {}) {
        deliver(2 * m_simulation.storeDelay(m_index) + delay, [end, page] { end(page); });
    };
    StorePage page;
    switch (fault) {
    case CallFault::NoAnswer:
    case CallFault::NeverEnds:
        return;
    case CallFault::Refused:
        answer(callFailure("503"));
        return;
    case CallFault::RejectedRead:
    case CallFault::NoHistory:
        page.isHistoryUnavailable = !call.isRead;
        if (call.isRead && fault == CallFault::NoHistory)
            sendToStore(request, end);
        else
            answer(page);
        return;
    case CallFault::Late:
        sendToStore(lateRequest(call, request), end);
        return;
    case CallFault::EarlierMoment:
        page.asOf = call.after;
        if (call.isRead)
            sendToStore(request, end);
        else
            answer(page, call.wait);
        return;
    case CallFault::MissingRows:
        sendToStore(
            [request, isRead = call.isRead](const auto& reply) {
                request([reply, isRead](StorePage changes) {
                    if (!isRead)
                        changes.rows.clear();
                    reply(changes);
                });
            },
            end);
        return;
    }
}

ConfigurationHost::StoreRequest ConfigurationHost::lateRequest(const TableCall& call, const StoreRequest& request)
{
    constexpr Duration timeLeft = std::chrono::milliseconds(10);
    const auto delay = std::max(Duration {}, call.timeout - 2 * m_simulation.storeDelay(m_index) - timeLeft);
    return [this, call, request, delay](const auto& reply) {
        const auto replyLate = [this, reply, delay](const StorePage& page) {
            m_simulation.after(delay, [reply, page] { reply(page); });
        };
        if (call.isRead) {
            request(replyLate);
            return;
        }
        m_simulation.store().poll(call.table, call.after, m_simulation.now(), replyLate);
        m_simulation.store().endPolls(m_simulation.now());
    };
}

void ConfigurationHost::readTable(StoreTable table, const std::string& fromKey, Duration timeout, StoreCallSlot slot)
{
    callForTable(
        { table, slot, timeout, true, {}, {} },
        [this, table, fromKey](const auto& answer) { answer(m_simulation.store().read(table, fromKey)); },
        [this, table, slot](const auto& page) { m_proxy->tableRead(m_simulation.now(), table, page, slot); });
}

void ConfigurationHost::followTable(
    StoreTable table, RowVersion after, Duration wait, Duration timeout, StoreCallSlot slot)
{
    callForTable(
        { table, slot, timeout, false, after, wait },
        [this, table, after, wait](const auto& answer) {
            m_simulation.store().poll(table, after, m_simulation.now() + wait, answer);
            m_simulation.after(wait, [this] { m_simulation.store().endPolls(m_simulation.now()); });
        },
        [this, table, slot](const auto& page) { m_proxy->tableFollowed(m_simulation.now(), table, page, slot); });
}

void ConfigurationHost::writeHost(const HostName& name, const std::string& value)
{
    callStore(
        storeCallTimeout,
        [this, name, value](const auto& answer) {
            m_simulation.store().write(StoreTable::Hosts, name.value(), value);
            answer({});
        },
        [this](const auto& page) { m_proxy->hostWritten(page.has_value()); });
}

void ConfigurationHost::readMembers(const GroupName& group, const std::string& fromKey)
{
    callStore(
        storeCallTimeout,
        [this, fromKey](const auto& answer) { answer(m_simulation.store().read(StoreTable::Targets, fromKey)); },
        [this, group](const auto& page) { m_proxy->membersRead(m_simulation.now(), group, page); });
}

void ConfigurationHost::readLease(const GroupName& group)
{
    callStore(
        storeCallTimeout, [](const auto& answer) { answer({}); },
        [this, group](const auto& page) {
            m_proxy->leaseRead(
                m_simulation.now(), group, page.map([](const StorePage&) { return PromotionLeaseRow {}; }));
        });
}

void ConfigurationHost::writeLease(const GroupName& group, const PromotionLease&, RowVersion)
{
    // The targets are never promoted, so another host may hold the lease all the time.
    callStore(
        storeCallTimeout, [](const auto& answer) { answer({}); },
        [this, group](const auto& page) {
            m_proxy->leaseWritten(
                m_simulation.now(), group, page.map([](const StorePage&) { return std::optional<RowVersion>(); }));
        });
}

void ConfigurationHost::followFeeder(const SocketAddress& address, StoreTable table, RowVersion after, Duration wait,
    Duration timeout, StoreCallSlot slot)
{
    auto& feeder = m_simulation.host(static_cast<std::size_t>(address.port - peerPort));
    const auto delay = m_simulation.delayBetween(m_index, feeder.index());
    const auto handle
        = cancellable<FeedPage>(table, slot, [this, address, table, slot](const Expected<FeedPage>& page) {
              m_proxy->feederAnswered(m_simulation.now(), address, table, page, slot);
          });
    const auto fault = m_simulation.nextCallFault(m_index, table);
    if (fault == CallFault::NeverEnds)
        return;
    const auto end = startCall<FeedPage>(timeout, handle);
    if (fault) {
        followFeederWithFault(*fault, 2 * delay, { after, {}, {} }, wait, end);
        return;
    }
    if (feeder.isKilled()) {
        deliver(2 * delay, [end] { end(callFailure("refused")); });
        return;
    }
    const auto answer = [this, end, delay](const std::optional<FeedPage>& page) {
        if (page)
            deliver(delay, [end, bytes = encodeFeedPage(*page)] { end(decodeFeedPage(bytes)); });
        else
            deliver(delay, [end] { end(callFailure("503")); });
    };
    feeder.deliver(delay, [this, &feeder, table, after, wait, answer] {
        const RequestId id(++feeder.m_lastFeedRequest);
        feeder.m_feedRequests[id] = answer;
        feeder.m_proxy->feedRequested(m_simulation.now(), id, table, after, wait);
    });
}

void ConfigurationHost::followFeederWithFault(CallFault fault, Duration roundTrip, const FeedPage& withoutChanges,
    Duration wait, const std::function<void(const Expected<FeedPage>&)>& end)
{
    if (fault == CallFault::NoAnswer)
        return;
    // A feeder has no history of changes.
    const bool isAnswered
        = fault == CallFault::Late || fault == CallFault::EarlierMoment || fault == CallFault::MissingRows;
    if (isAnswered)
        deliver(roundTrip + wait, [end, withoutChanges] { end(withoutChanges); });
    else
        deliver(roundTrip, [end] { end(callFailure("503")); });
}

void ConfigurationHost::answerFeed(RequestId id, const std::optional<FeedPage>& page)
{
    m_feedRequests.extract(id).mapped()(page);
}

void ConfigurationHost::queryPeer(const SocketAddress& address)
{
    auto& peer = m_simulation.host(static_cast<std::size_t>(address.port - peerPort));
    const auto delay = m_simulation.delayBetween(m_index, peer.index());
    if (m_simulation.arePeersSilent(m_index))
        return;
    peer.deliver(3 * delay, [this, &peer, address, delay] {
        deliver(delay, [this, address, snapshot = encodeSnapshot(peer.m_proxy->tables())] {
            m_proxy->peerAnswered(m_simulation.now(), address, decodeSnapshot(snapshot));
        });
    });
}

void ConfigurationHost::queryVersion(const SocketAddress& address, ConfigVersion own, Duration timeout)
{
    auto& peer = m_simulation.host(static_cast<std::size_t>(address.port - peerPort));
    const auto delay = m_simulation.delayBetween(m_index, peer.index());
    const auto end = startCall<ConfigVersion>(timeout, [this, address](const Expected<ConfigVersion>& version) {
        m_proxy->versionAnswered(m_simulation.now(), address, version);
    });
    if (m_simulation.arePeersSilent(m_index))
        return;
    if (peer.isKilled()) {
        deliver(2 * delay, [end] { end(callFailure("refused")); });
        return;
    }
    peer.deliver(delay, [this, &peer, own, end, delay] {
        const auto theirs
            = peer.m_proxy->versionQueried(m_simulation.now(), ConfigurationSimulation::hostName(m_index), own);
        deliver(delay, [end, theirs] { end(theirs); });
    });
}

} // namespace Auburnpost::Proxy
