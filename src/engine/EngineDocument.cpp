// How the engine comes by the operators' document and puts it into force.
#include "config/DocumentParser.h"
#include "engine/EngineState.h"

#include <nlohmann/json.hpp>

namespace Auburnpost {

namespace {

    constexpr const char* documentPath = "/table/config/document";
    constexpr const char* hostsPath = "/hosts";

} // namespace

void EngineState::pollPlatform(Instant now)
{
    if (now >= m_nextPoll) {
        m_nextPoll = now + m_settings.platform.configPollInterval;
        const PlatformCallId id(++m_lastPlatformCall);
        m_platformCalls.emplace(id, documentPath);
        m_actions.emplace_back(
            PlatformCall { id, PlatformMethod::Get, documentPath, "", std::nullopt, m_settings.platform.callTimeout });
    }
    if (now >= m_nextHostList) {
        m_nextHostList = now + m_settings.platform.hostListInterval;
        const PlatformCallId id(++m_lastPlatformCall);
        m_platformCalls.emplace(id, hostsPath);
        m_actions.emplace_back(
            PlatformCall { id, PlatformMethod::Get, hostsPath, "", std::nullopt, m_settings.platform.callTimeout });
    }
}

void EngineState::handle(Instant now, const PlatformAnswer& answer)
{
    const auto call = m_platformCalls.extract(answer.id);
    if (!call || !answer.reply || answer.reply->status != 200)
        return;
    if (call.mapped() == documentPath) {
        acceptDocument(now, ConfigVersion(answer.reply->version.value_or(0)), answer.reply->body);
        return;
    }
    const auto json = nlohmann::json::parse(answer.reply->body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts"))
        return;
    std::vector<Member::ListedHost> hosts;
    for (const auto& item : json["hosts"]) {
        const auto gossip = SocketAddress::parse(item.value("gossip", ""));
        if (gossip)
            hosts.push_back({ HostName(item.value("name", "")), *gossip });
    }
    m_membership.hostList(now, hosts);
}

void EngineState::acceptDocument(Instant now, ConfigVersion version, const std::string& text)
{
    if (m_document && version <= m_document->version)
        return;
    auto parsed = Config::parseDocument(text, version);
    if (!parsed.isAccepted()) {
        log(LogEvent::ConfigurationRefused, { { "version", std::to_string(version.value()) } });
        return;
    }
    m_document = std::move(parsed.document);
    m_document->version = version;
    m_documentText = text;
    m_membership.setConfigVersion(now, version);
    m_placementStale = true;
    log(LogEvent::ConfigurationApplied, { { "version", std::to_string(version.value()) } });
}

void EngineState::apply(Instant, const Member::ConfigVersionSeen& seen)
{
    if (seen.version <= documentVersion())
        return;
    if (const auto holder = host(seen.host))
        sendPeer(holder->peers, DocumentWanted { m_settings.host.name, m_settings.listen.peers });
}

void EngineState::handle(Instant, const SectionPut& put)
{
    m_actions.emplace_back(AnswerOperator { put.id, 503, documentVersion(), "" });
}

} // namespace Auburnpost
