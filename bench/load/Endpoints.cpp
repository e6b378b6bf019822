#include "load/Endpoints.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>

namespace Auburnpost::Load {

namespace {

    using Json = nlohmann::json;

    SocketAddress parseAddress(const Json& entry, const char* name)
    {
        const auto address = SocketAddress::parse(entry.at(name).get<std::string>());
        if (!address)
            throw std::invalid_argument(address.error().message);
        return *address;
    }

    OrganisationAccess parseOrganisation(const Json& entry)
    {
        OrganisationAccess organisation { OrganisationName(entry.at("name").get<std::string>()),
            entry.at("key").get<std::string>(), {} };
        for (const auto& database : entry.at("databases"))
            organisation.databases.emplace_back(database.get<std::string>());
        return organisation;
    }

    Endpoints parseEndpoints(const Json& json)
    {
        Endpoints endpoints;
        for (const auto& host : json.at("hosts"))
            endpoints.hosts.push_back({ HostName(host.at("name").get<std::string>()), host.at("pid").get<pid_t>(),
                parseAddress(host, "callers"), parseAddress(host, "operators") });
        for (const auto& target : json.at("targets"))
            endpoints.targets.push_back(
                { TargetName(target.at("name").get<std::string>()), DatabaseName(target.value("database", "")),
                    target.at("pid").get<pid_t>(), parseAddress(target, "control") });
        const auto& platform = json.at("platform");
        endpoints.platform = { platform.at("pid").get<pid_t>(), parseAddress(platform, "control") };
        for (const auto& organisation : json.value("organisations", Json::array()))
            endpoints.organisations.push_back(parseOrganisation(organisation));
        return endpoints;
    }

    std::vector<std::string> split(std::string_view text, char separator)
    {
        std::vector<std::string> parts;
        std::istringstream stream { std::string(text) };
        for (std::string part; std::getline(stream, part, separator);)
            parts.push_back(part);
        return parts;
    }

    Expected<OrganisationAccess> chooseOrganisation(
        const std::string& item, const std::vector<OrganisationAccess>& known)
    {
        constexpr std::size_t fieldCount = 3;
        const auto fields = split(item, ':');
        for (const auto& organisation : known) {
            if (fields.size() == 1 && organisation.name.value() == item)
                return organisation;
        }
        if (fields.size() != fieldCount)
            return fail(ErrorCode::BadSettings, "choose organisations", item,
                "neither a name in the endpoints nor NAME:KEY:DATABASE[+DATABASE]");
        OrganisationAccess organisation { OrganisationName(fields[0]), fields[1], {} };
        for (const auto& database : split(fields[2], '+'))
            organisation.databases.emplace_back(database);
        return organisation;
    }

} // namespace

Expected<Endpoints> Endpoints::parse(std::string_view text)
{
    try {
        return parseEndpoints(Json::parse(text));
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadSettings, "read endpoints", "", problem.what());
    }
}

Expected<Endpoints> Endpoints::read(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(ErrorCode::BadSettings, "read endpoints", path, "the file can't be opened");
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

Expected<std::vector<OrganisationAccess>> chooseOrganisations(
    std::string_view text, const std::vector<OrganisationAccess>& known)
{
    std::vector<OrganisationAccess> organisations;
    for (const auto& item : split(text, ',')) {
        auto organisation = chooseOrganisation(item, known);
        if (!organisation)
            return tl::unexpected(organisation.error());
        organisations.push_back(std::move(*organisation));
    }
    return organisations;
}

} // namespace Auburnpost::Load
