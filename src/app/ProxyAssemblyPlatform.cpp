#include "app/ProxyAssembly.h"
#include "platform/Fields.h"
#include "platform/StoreCalls.h"
#include "proxy/PeerSnapshot.h"

namespace Auburnpost {

namespace {

    constexpr Duration membersTimeout = std::chrono::milliseconds(900);
    constexpr auto snapshotPath = "/v1/snapshot";
    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;
    /// Followers request "/v1/tables/TABLE/VERSION/WAIT", with the version that they have, as NUMBER or ERA.NUMBER, and
    /// the wait in milliseconds.
    constexpr auto feedFolder = "tables";
    constexpr std::size_t feedPathSegments = 5;
    /// Hosts ask "/v1/version/HOST/VERSION" with their name and the version of their configuration. The answer is a
    /// version as text.
    constexpr auto versionFolder = "version";
    constexpr std::size_t versionPathSegments = 4;
    constexpr std::uint64_t maxFeedWaitMs = 60'000;
    /// One for each followed table.
    constexpr std::size_t feederConnections = 2;

    std::optional<Proxy::StoreTable> readTableName(std::string_view name)
    {
        for (const auto table : Proxy::followedTables) {
            if (toString(table) == name)
                return table;
        }
        return {};
    }

    std::string writeVersion(const Proxy::RowVersion& version)
    {
        const auto number = std::to_string(version.value());
        const auto era = version.era();
        return era == Proxy::StoreEra {} ? number : std::to_string(era.value()) + "." + number;
    }

    std::optional<Proxy::RowVersion> readVersion(std::string_view text)
    {
        const auto dot = text.find('.');
        const auto era = dot == std::string_view::npos ? std::optional<std::uint64_t>(0)
                                                       : Platform::readNumber(text.substr(0, dot));
        const auto number = Platform::readNumber(dot == std::string_view::npos ? text : text.substr(dot + 1));
        if (!era || !number)
            return {};
        return Proxy::RowVersion(*number, Proxy::StoreEra(*era));
    }

    Expected<Proxy::StorePage> readPage(Proxy::StoreTable table, const Expected<PlatformReply>& reply)
    {
        auto page = Platform::readPage(reply);
        if (page && table == Proxy::StoreTable::Configuration)
            Platform::redactKeys(*page);
        return page;
    }

} // namespace

Wire::PlatformClientLimits ProxyAssembly::clientLimits(
    const Proxy::ProxySettings& settings, std::size_t connections, std::size_t urgentConnections)
{
    Wire::PlatformClientLimits limits;
    limits.userAgent = settings.host.value() + "/" + settings.dataCentre.value();
    limits.connections = connections;
    limits.urgentConnections = urgentConnections;
    return limits;
}

PlatformCallId ProxyAssembly::call(Wire::PlatformClient& client, PlatformCall call, ReplyHandler handler)
{
    call.id = PlatformCallId(++m_lastCallId);
    m_replyHandlers.emplace(call.id, std::move(handler));
    client.call(call);
    return call.id;
}

void ProxyAssembly::callForTable(
    Proxy::StoreTable table, Proxy::StoreCallSlot slot, PlatformCall tableCall, ReplyHandler handler)
{
    const bool isFollowed = table != Proxy::StoreTable::Hosts;
    tableCall.isUrgent = isFollowed;
    tableCall.needsNewConnection = isFollowed && slot == Proxy::StoreCallSlot::Second;
    const auto id = call(m_storeClient, std::move(tableCall), std::move(handler));
    if (isFollowed)
        m_tableCalls[{ table, slot }] = { id, {} };
}

void ProxyAssembly::readTable(
    Proxy::StoreTable table, const std::string& fromKey, Duration timeout, Proxy::StoreCallSlot slot)
{
    callForTable(table, slot, Platform::makeTableReadCall(table, fromKey, timeout),
        [this, table, slot](const Expected<PlatformReply>& reply) {
            const auto page = readPage(table, reply);
            m_storeCalls.recordRead(table, page);
            m_proxy.tableRead(now(), table, page, slot);
        });
}

void ProxyAssembly::followTable(
    Proxy::StoreTable table, Proxy::RowVersion after, Duration wait, Duration timeout, Proxy::StoreCallSlot slot)
{
    callForTable(table, slot, Platform::makeTableFollowCall(table, after, wait, timeout),
        [this, table, slot](const Expected<PlatformReply>& reply) {
            const auto page = readPage(table, reply);
            m_storeCalls.recordPoll(table, page);
            m_proxy.tableFollowed(now(), table, page, slot);
        });
}

void ProxyAssembly::cancelCall(Proxy::StoreTable table, Proxy::StoreCallSlot slot)
{
    const auto& cancelled = m_tableCalls.at({ table, slot });
    if (m_replyHandlers.erase(cancelled.id) == 0)
        return;
    const auto feeder = cancelled.feeder ? m_feederClients.find(*cancelled.feeder) : m_feederClients.end();
    if (feeder != m_feederClients.end())
        feeder->second->cancel(cancelled.id);
    else
        m_storeClient.cancel(cancelled.id);
}

void ProxyAssembly::writeHost(const HostName& host, const std::string& value)
{
    call(m_storeClient, Platform::makeHostWriteCall(host, value), [this](const Expected<PlatformReply>& reply) {
        // Without an answer the proxy writes the record again. A loss of the store is reported by the table followers.
        const auto isDone = reply.map([](const PlatformReply& answered) { return answered.status == statusOk; });
        m_storeCalls.recordHostWrite(isDone);
        m_proxy.hostWritten(isDone.value_or(false));
    });
}

void ProxyAssembly::readLease(const Proxy::GroupName& group)
{
    call(m_storeClient, Platform::makeLeaseReadCall(group), [this, group](const Expected<PlatformReply>& reply) {
        const auto row = Platform::readLeaseRow(group, reply);
        m_storeCalls.recordLeaseRead(row);
        m_proxy.leaseRead(now(), group, row);
    });
}

void ProxyAssembly::writeLease(
    const Proxy::GroupName& group, const Proxy::PromotionLease& lease, Proxy::RowVersion expected)
{
    call(m_storeClient, Platform::makeLeaseWriteCall(group, lease, expected),
        [this, group](const Expected<PlatformReply>& reply) {
            const auto version = Platform::readLeaseWrite(reply);
            m_storeCalls.recordLeaseWrite(version);
            m_proxy.leaseWritten(now(), group, version);
        });
}

void ProxyAssembly::readMembers(const Proxy::GroupName& group, const std::string& fromKey)
{
    call(m_storeClient, Platform::makeTableReadCall(Proxy::StoreTable::Targets, fromKey, membersTimeout),
        [this, group](const Expected<PlatformReply>& reply) {
            const auto page = Platform::readPage(reply);
            m_storeCalls.recordRead(Proxy::StoreTable::Targets, page);
            m_proxy.membersRead(now(), group, page);
        });
}

void ProxyAssembly::promote(
    const Proxy::GroupName& group, const TargetName& target, Proxy::RowVersion token, Instant sendBefore)
{
    auto promotion = Platform::makePromotionCall(group, target, m_settings.host, token, Proxy::Promotion::callTimeout);
    promotion.maySend = [sendBefore] { return now() < sendBefore; };
    call(m_promotionClient, std::move(promotion), [this, group](const Expected<PlatformReply>& reply) {
        m_proxy.promoteAnswered(now(), group, Platform::readPromotionOutcome(reply));
    });
}

Wire::PlatformClient& ProxyAssembly::peerClient(const SocketAddress& peer)
{
    auto& client = m_peerClients[peer];
    if (!client) {
        client = std::make_unique<Wire::PlatformClient>(m_base, peer, clientLimits(m_settings, 1));
        client->answered().connect([this](const PlatformAnswer& answer) { onPlatformAnswer(answer); });
    }
    return *client;
}

void ProxyAssembly::queryPeer(const SocketAddress& peer)
{
    PlatformCall snapshotCall;
    snapshotCall.path = snapshotPath;
    snapshotCall.timeout = Proxy::Proxy::peerAnswerTimeout;
    call(peerClient(peer), std::move(snapshotCall), [this, peer](const Expected<PlatformReply>& reply) {
        m_proxy.peerAnswered(now(), peer,
            reply.and_then([](const PlatformReply& answered) { return Proxy::decodeSnapshot(answered.body); }));
    });
}

void ProxyAssembly::queryVersion(const SocketAddress& peer, ConfigVersion own, Duration timeout)
{
    PlatformCall question;
    question.path
        = "/v1/" + std::string(versionFolder) + "/" + m_settings.host.value() + "/" + std::to_string(own.value());
    question.timeout = timeout;
    call(peerClient(peer), std::move(question), [this, peer](const Expected<PlatformReply>& reply) {
        m_proxy.versionAnswered(
            now(), peer, reply.and_then([&peer](const PlatformReply& answered) -> Expected<ConfigVersion> {
                const auto version = Platform::readNumber(answered.body);
                if (answered.status != statusOk || !version)
                    return fail(ErrorCode::BadMessage, "ask for a version", peer.toString(),
                        "status " + std::to_string(answered.status) + " or an answer that is no version");
                return ConfigVersion(*version);
            }));
    });
}

void ProxyAssembly::sendDatagram(const SocketAddress& peer, std::string_view datagram)
{
    // A datagram that is not sent counts as lost.
    if (m_datagrams)
        static_cast<void>(m_datagrams->send(peer, datagram));
}

void ProxyAssembly::onPlatformAnswer(const PlatformAnswer& answer)
{
    const auto handler = m_replyHandlers.extract(answer.id);
    if (handler)
        handler.mapped()(answer.reply);
}

void ProxyAssembly::followFeeder(const SocketAddress& feeder, Proxy::StoreTable table, Proxy::RowVersion after,
    Duration wait, Duration timeout, Proxy::StoreCallSlot slot)
{
    // The feeder changes seldom; clients of earlier ones have no call in progress and are dropped.
    std::erase_if(m_feederClients,
        [&feeder](const auto& entry) { return entry.first != feeder && entry.second->pending() == 0; });
    auto& client = m_feederClients[feeder];
    if (!client) {
        client = std::make_unique<Wire::PlatformClient>(m_base, feeder, clientLimits(m_settings, feederConnections));
        client->answered().connect([this](const PlatformAnswer& answer) { onPlatformAnswer(answer); });
    }
    PlatformCall feedCall;
    feedCall.path = "/v1/" + std::string(feedFolder) + "/" + std::string(toString(table)) + "/" + writeVersion(after)
        + "/" + std::to_string(toMilliseconds(wait));
    feedCall.timeout = timeout;
    const auto id
        = call(*client, std::move(feedCall), [this, feeder, table, slot](const Expected<PlatformReply>& reply) {
              auto page = reply.and_then([&feeder](const PlatformReply& answered) -> Expected<Proxy::FeedPage> {
                  if (answered.status != statusOk)
                      return fail(ErrorCode::PlatformRefused, "follow table", feeder.toString(),
                          "status " + std::to_string(answered.status));
                  return Proxy::decodeFeedPage(answered.body);
              });
              m_proxy.feederAnswered(now(), feeder, table, page, slot);
          });
    m_tableCalls[{ table, slot }] = { id, feeder };
}

void ProxyAssembly::serveFeed(const Wire::HttpRequest& request)
{
    const auto table = readTableName(request.path[2]);
    const auto after = readVersion(request.path[3]);
    const auto wait = Platform::readNumber(request.path[4]);
    if (!table || !after || !wait || *wait > maxFeedWaitMs) {
        m_peerServer.reply(request.id, { statusNotFound, {}, {} });
        return;
    }
    m_proxy.feedRequested(now(), request.id, *table, *after, std::chrono::milliseconds(*wait));
}

void ProxyAssembly::serveVersion(const Wire::HttpRequest& request)
{
    const auto version = Platform::readNumber(request.path[3]);
    if (!version) {
        m_peerServer.reply(request.id, { statusNotFound, {}, {} });
        return;
    }
    const auto own = m_proxy.versionQueried(now(), HostName(request.path[2]), ConfigVersion(*version));
    m_peerServer.reply(request.id, { statusOk, { { "Content-Type", "text/plain" } }, std::to_string(own.value()) });
}

void ProxyAssembly::answerFeed(RequestId id, const std::optional<Proxy::FeedPage>& page)
{
    if (page)
        m_peerServer.reply(
            id, { statusOk, { { "Content-Type", "application/msgpack" } }, Proxy::encodeFeedPage(*page) });
    else
        m_peerServer.reply(id, { statusUnavailable, {}, {} });
}

void ProxyAssembly::servePeer(const Wire::HttpRequest& request)
{
    if (request.path.size() == feedPathSegments && request.path[1] == feedFolder) {
        serveFeed(request);
        return;
    }
    if (request.path.size() == versionPathSegments && request.path[1] == versionFolder) {
        serveVersion(request);
        return;
    }
    const bool isStateRequest = !request.path.empty() && request.path.back() == "state";
    if (isStateRequest)
        m_peerServer.reply(request.id, { statusOk, { { "Content-Type", "application/json" } }, m_proxy.dump(now()) });
    else
        m_peerServer.reply(request.id,
            { statusOk, { { "Content-Type", "application/msgpack" } }, Proxy::encodeSnapshot(m_proxy.tables()) });
}

} // namespace Auburnpost
