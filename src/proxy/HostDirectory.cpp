#include "proxy/HostDirectory.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Auburnpost::Proxy {

namespace {

    constexpr auto dataCentreField = "data_centre";
    constexpr auto relayField = "relay";
    constexpr auto sessionsField = "sessions";
    constexpr auto peersField = "peers";
    constexpr auto readsRoutesField = "reads_routes";
    constexpr auto processorShareField = "processor_share";

    std::string textOf(const nlohmann::json& record, const char* field)
    {
        const auto found = record.find(field);
        return found != record.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    /// @return the processor share; 1 for a record without a positive one, as older versions write it.
    double processorShareOf(const nlohmann::json& record)
    {
        const auto found = record.find(processorShareField);
        const auto share = found != record.end() && found->is_number() ? found->get<double>() : 0;
        return share > 0 ? share : HostEntry {}.processorShare;
    }

    /// @return the record; empty for one in another format, as another version of the program may write it.
    std::optional<HostEntry> decode(const StoreRow& row)
    {
        const auto record = nlohmann::json::parse(row.value, nullptr, false);
        if (!record.is_object())
            return {};
        const auto relay = SocketAddress::parse(textOf(record, relayField));
        const auto sessions = SocketAddress::parse(textOf(record, sessionsField));
        if (!relay || !sessions)
            return {};
        HostEntry host { HostName(row.key), DataCentreName(textOf(record, dataCentreField)), *relay, *sessions,
            processorShareOf(record) };
        if (const auto peers = SocketAddress::parse(textOf(record, peersField)))
            host.peers = *peers;
        const auto readsRoutes = record.find(readsRoutesField);
        host.readsRoutes = readsRoutes != record.end() && *readsRoutes == true;
        return host;
    }

} // namespace

HostDirectory::HostDirectory(HostEntry self, StoreDelegate& delegate)
    : m_self(std::move(self))
    , m_delegate(delegate)
    , m_hosts { m_self }
    , m_partialRead { m_self }
{
}

std::string HostDirectory::encode(const HostEntry& host)
{
    nlohmann::json record { { dataCentreField, host.dataCentre.value() }, { relayField, host.relay.toString() },
        { sessionsField, host.sessions.toString() }, { processorShareField, host.processorShare },
        { readsRoutesField, host.readsRoutes } };
    if (host.peers)
        record[peersField] = host.peers->toString();
    return record.dump();
}

void HostDirectory::tick(Instant now)
{
    if (!m_isRecordWritten && now >= m_writeAt) {
        m_writeAt = now + writeRetryInterval;
        m_delegate.writeHost(m_self.name, encode(m_self));
    }
    if (now >= m_readAt) {
        m_readAt = now + (m_relays.empty() ? writeRetryInterval : readInterval);
        m_partialRead = { m_self };
        m_isSelfListed = false;
        m_wasWrittenBeforeRead = m_isRecordWritten;
        readFrom({});
    }
}

void HostDirectory::readFrom(const std::string& key)
{
    const auto timeout = m_failedReads < failuresBeforeLongTimeout ? readTimeout : longReadTimeout;
    m_delegate.readTable(StoreTable::Hosts, key, timeout, StoreCallSlot::First);
}

void HostDirectory::recordReadFailed(Instant now, bool isStoreAnswering)
{
    ++m_failedReads;
    if (isStoreAnswering)
        m_readAt = std::min(m_readAt, now + readRetryDelay);
}

bool HostDirectory::updateHosts(Instant now, const StorePage& page)
{
    for (const auto& row : page.rows) {
        const auto host = decode(row);
        m_isSelfListed = m_isSelfListed || (row.key == m_self.name.value() && row.value == encode(m_self));
        if (host && host->name != m_self.name)
            m_partialRead.push_back(*host);
    }
    if (page.hasMore && !page.rows.empty()) {
        // The next read starts only once this page has arrived or timed out.
        m_readAt = std::max(m_readAt, now + writeRetryInterval);
        readFrom(keyAfter(page.rows.back().key));
        return false;
    }
    m_hasRead = true;
    m_failedReads = 0;
    // The store may have come back from an older copy that lacks the record.
    if (m_wasWrittenBeforeRead && !std::exchange(m_isSelfListed, false))
        m_isRecordWritten = false;
    auto hosts = std::exchange(m_partialRead, { m_self });
    std::sort(hosts.begin(), hosts.end(),
        [](const HostEntry& left, const HostEntry& right) { return left.name < right.name; });
    if (hosts == m_hosts)
        return false;
    m_hosts = std::move(hosts);
    m_relays.clear();
    for (const auto& host : m_hosts) {
        if (host.name != m_self.name)
            m_relays.push_back(host.relay);
    }
    m_readAt = std::min(m_readAt, now + readIntervalAfterChange);
    return true;
}

} // namespace Auburnpost::Proxy
