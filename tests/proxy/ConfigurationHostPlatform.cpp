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

void ConfigurationHost::callForTable(StoreTable table, StoreCallSlot slot, bool isRead, Duration timeout,
    const StoreRequest& request, const PageHandler& handle)
{
    if (table == StoreTable::Hosts) {
        callStore(timeout, request, handle);
        return;
    }
    const auto end = startCall<StorePage>(timeout, cancellable<StorePage>(table, slot, handle));
    const auto failure = m_simulation.nextFailure(m_index, isRead);
    if (!failure) {
        sendToStore(request, end);
        return;
    }
    if (failure == SeriesFailure::NoAnswer)
        return;
    Expected<StorePage> answer = StorePage {};
    if (failure == SeriesFailure::Refused)
        answer = callFailure("503");
    else if (!isRead)
        answer->isHistoryUnavailable = true;
    deliver(2 * m_simulation.storeDelay(m_index), [end, answer] { end(answer); });
}

void ConfigurationHost::readTable(StoreTable table, const std::string& fromKey, Duration timeout, StoreCallSlot slot)
{
    callForTable(
        table, slot, true, timeout,
        [this, table, fromKey](const auto& answer) { answer(m_simulation.store().read(table, fromKey)); },
        [this, table, slot](const auto& page) { m_proxy->tableRead(m_simulation.now(), table, page, slot); });
}

void ConfigurationHost::followTable(
    StoreTable table, RowVersion after, Duration wait, Duration timeout, StoreCallSlot slot)
{
    callForTable(
        table, slot, false, timeout,
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
    const auto end = startCall<FeedPage>(
        timeout, cancellable<FeedPage>(table, slot, [this, address, table, slot](const Expected<FeedPage>& page) {
            m_proxy->feederAnswered(m_simulation.now(), address, table, page, slot);
        }));
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

} // namespace Auburnpost::Proxy
