#include "proxy/HostDirectory.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Proxy {

namespace {

    constexpr auto relayField = "relay";

} // namespace

HostDirectory::HostDirectory(HostName self, SocketAddress relay, StoreActions& actions)
    : m_self(std::move(self))
    , m_relay(std::move(relay))
    , m_actions(actions)
{
}

std::string HostDirectory::encode(const SocketAddress& relay)
{
    return nlohmann::json { { relayField, relay.toString() } }.dump();
}

void HostDirectory::tick(Instant now)
{
    if (!m_isWritten && now >= m_writeAt) {
        m_writeAt = now + writeRetry;
        m_actions.writeHost(m_self, encode(m_relay));
    }
    if (now >= m_readAt) {
        m_readAt = now + (m_relays.empty() ? writeRetry : readInterval);
        m_actions.readTable(StoreTable::Hosts, {});
    }
}

void HostDirectory::read(const StorePage& page)
{
    std::vector<SocketAddress> relays;
    for (const auto& row : page.rows) {
        const auto record = nlohmann::json::parse(row.value, nullptr, false);
        if (row.key == m_self.value() || !record.is_object() || !record.contains(relayField))
            continue;
        // A record of another form is of another version of the program, which does not relay for this one.
        const auto& text = record.at(relayField);
        const auto address = SocketAddress::parse(text.is_string() ? text.get<std::string>() : std::string());
        if (address)
            relays.push_back(*address);
    }
    m_relays = std::move(relays);
}

} // namespace Auburnpost::Proxy
