#include "platform/SettingsReader.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace Auburnpost::Platform {

namespace {

    using Json = nlohmann::json;

    constexpr auto pathVariable = "AUBURNPOST_SETTINGS";
    /// Memory of a host whose settings state none, as some platforms leave it out.
    constexpr std::size_t defaultMemoryMb = 256;
    constexpr std::size_t bytesPerMebibyte = 1024UL * 1024;

    /// @throws Json::exception when the field is missing; std::invalid_argument when it holds no address.
    SocketAddress readAddress(const Json& value)
    {
        const auto address = SocketAddress::parse(value.get<std::string>());
        if (!address)
            throw std::invalid_argument(address.error().message);
        return *address;
    }

    /// @return the bound, or the default if the deployment sets none.
    /// @throws std::invalid_argument for a bound that is not positive.
    Duration readBound(const Json& json, const char* name, Duration otherwise)
    {
        if (!json.contains(name))
            return otherwise;
        const std::chrono::duration<double, std::milli> bound(json.at(name).get<double>());
        if (bound.count() <= 0)
            throw std::invalid_argument(std::string(name) + " is not positive");
        return std::chrono::duration_cast<Duration>(bound);
    }

    Proxy::TimeBounds readBounds(const Json& json)
    {
        Proxy::TimeBounds bounds;
        bounds.configuration = readBound(json, "ConfigPropagationMs", bounds.configuration);
        bounds.recovery = readBound(json, "StabilityWindowMs", bounds.recovery);
        bounds.drain = readBound(json, "DrainMs", bounds.drain);
        return bounds;
    }

    /// @return the rules for rate limits; empty unless the deployment sets all of them.
    /// @throws std::invalid_argument for a window that is not positive or a negative excess.
    std::optional<Limit::AllotmentRules> readAllotments(const Json& json)
    {
        constexpr auto windowField = "QuotaWindowS";
        constexpr auto overageField = "QuotaOverage";
        constexpr auto slackField = "QuotaSlack";
        if (!json.contains(windowField) || !json.contains(overageField) || !json.contains(slackField))
            return {};
        const std::chrono::duration<double> window(json.at(windowField).get<double>());
        Limit::AllotmentRules rules;
        rules.window = std::chrono::duration_cast<Duration>(window);
        rules.overage = json.at(overageField).get<double>();
        rules.slack = json.at(slackField).get<double>();
        if (window.count() <= 0 || rules.overage < 0 || rules.slack < 0)
            throw std::invalid_argument("QuotaWindowS, QuotaOverage or QuotaSlack is out of range");
        return rules;
    }

    /// @return the host's share of a processor; the default if the deployment states none that is positive.
    double readProcessorShare(const Json& limits, double otherwise)
    {
        const auto share = limits.find("CpuShare");
        if (share == limits.end() || !share->is_number() || share->get<double>() <= 0)
            return otherwise;
        return share->get<double>();
    }

    Proxy::ProxySettings read(const Json& json, std::uint16_t metricsPort)
    {
        Proxy::ProxySettings settings;
        settings.host = HostName(json.at("Node").get<std::string>());
        settings.dataCentre = DataCentreName(json.at("Zone").get<std::string>());
        const auto& listen = json.at("Listen");
        settings.callers = readAddress(listen.at("Front"));
        settings.readiness = readAddress(listen.at("Ready"));
        settings.peers = readAddress(listen.at("Control"));
        settings.metrics = { json.at("Ip").get<std::string>(), metricsPort };
        // InternalPorts are free for the hosts' own use; the first one and the last one are used.
        const auto& internalPorts = json.at("InternalPorts");
        settings.relay = { json.at("Ip").get<std::string>(), internalPorts.front().get<std::uint16_t>() };
        settings.sessions = { json.at("Ip").get<std::string>(), internalPorts.back().get<std::uint16_t>() };
        settings.store = readAddress(json.at("platform").at("Address"));
        settings.promotions = readAddress(json.at("Cloud").at("Address"));
        for (const auto& seed : json.value("Seeds", Json::array()))
            settings.seeds.push_back(readAddress(seed));
        settings.descriptors = json.at("Limits").at("FileDescriptors").get<std::size_t>();
        settings.processorShare = readProcessorShare(json.at("Limits"), settings.processorShare);
        settings.memoryBytes = json.at("Limits").value("MemoryMb", defaultMemoryMb) * bytesPerMebibyte;
        settings.isFirstStart = json.value("FirstStart", false);
        settings.bounds = readBounds(json.at("Bounds"));
        settings.allotments = readAllotments(json.at("Bounds"));
        const std::chrono::duration<double> grace(json.at("Bounds").at("GraceS").get<double>());
        settings.stopTimeout = std::chrono::duration_cast<Duration>(grace);
        return settings;
    }

} // namespace

std::string settingsPath()
{
    const auto* const path = std::getenv(pathVariable);
    return path ? path : "";
}

Expected<Proxy::ProxySettings> readSettings(std::string_view text, std::uint16_t metricsPort)
{
    try {
        return read(Json::parse(text), metricsPort);
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadSettings, "read settings", "", problem.what());
    }
}

} // namespace Auburnpost::Platform
