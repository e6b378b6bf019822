#include "proxy/Proxy.h"

#include <algorithm>

namespace Auburnpost::Proxy {

ConfigVersion Proxy::appliedVersion() const
{
    return m_catalog ? m_catalog->version : ConfigVersion {};
}

void Proxy::versionStated(Instant now, const HostName& host, ConfigVersion version)
{
    beginEvent(now);
    recordNewerVersion({ version, host.value() });
    if (!m_catalog || version <= std::max(m_catalog->version, m_servedVersion))
        return;
    m_servedVersion = version;
    m_servedVersionStatedAt = now;
}

bool Proxy::isAwaitingVersion() const
{
    return m_catalog && m_catalog->version < m_servedVersion && m_now - m_servedVersionStatedAt < maxRouteWait;
}

void Proxy::exchangeVersions(Instant now)
{
    if (const auto partner = m_versionExchange.nextQuestion(now))
        m_delegate.queryVersion(*partner, appliedVersion(), VersionExchange::answerTimeout);
}

ConfigVersion Proxy::versionQueried(Instant now, const HostName& from, ConfigVersion theirs)
{
    beginEvent(now);
    recordNewerVersion({ theirs, from.value() });
    return appliedVersion();
}

void Proxy::versionAnswered(Instant now, const SocketAddress& partner, const Expected<ConfigVersion>& theirs)
{
    beginEvent(now);
    if (!theirs) {
        if (m_versionExchange.recordFailure(now, partner))
            log({ LogEvent::PeerMessageRejected,
                { { "peer", partner.toString() }, { "reason", theirs.error().describe() } } });
        return;
    }
    if (*theirs <= appliedVersion())
        m_versionAgreedAt = now;
    recordNewerVersion({ *theirs, partner.toString(), partner });
}

void Proxy::recordNewerVersion(NewerVersion stated)
{
    const auto& known = m_newerVersion;
    // A query that was not answered is repeated once the version is stated again.
    const bool isAwaited = !known.queriedAt || m_now - *known.queriedAt < peerAnswerTimeout;
    if (stated.version <= appliedVersion() || (isAwaited && stated.version <= known.version))
        return;
    stated.statedAt = m_now;
    m_newerVersion = std::move(stated);
    log({ LogEvent::NewerConfigurationStated,
        { { "host", m_newerVersion.host }, { "version", std::to_string(m_newerVersion.version.value()) },
            { "applied", std::to_string(appliedVersion().value()) } } });
}

std::optional<SocketAddress> Proxy::peersAddressOf(const NewerVersion& newer) const
{
    if (newer.address)
        return newer.address;
    for (const auto& host : m_hosts.hosts()) {
        if (host.name == HostName(newer.host))
            return host.peers;
    }
    return {};
}

void Proxy::queryNewerVersion(Instant now)
{
    auto& newer = m_newerVersion;
    if (newer.queriedAt || newer.version <= appliedVersion() || now - newer.statedAt < versionQueryDelay)
        return;
    newer.queriedAt = now;
    std::vector<LogField> fields { { "host", newer.host }, { "version", std::to_string(newer.version.value()) },
        { "applied", std::to_string(appliedVersion().value()) } };
    appendConfigurationAge(fields);
    log({ LogEvent::ConfigurationBehind, std::move(fields) });
    if (const auto address = peersAddressOf(newer))
        m_delegate.queryPeer(*address);
}

} // namespace Auburnpost::Proxy
