#include "process/TargetGroup.h"

#include "process/LocalHttp.h"

#include <sstream>

namespace Auburnpost::Test {

TargetGroup::TargetGroup(int size, std::string extra)
    : m_extraSettings(std::move(extra))
{
    for (int index = 0; index < size; ++index)
        m_members[std::string(1, static_cast<char>('a' + index))] = { freePort(), freePort(), nullptr };
    for (const auto& [name, member] : m_members)
        restart(name);
}

std::string TargetGroup::settings(const std::string& target) const
{
    const Member& self = m_members.at(target);
    std::ostringstream ini;
    ini << "[target]\nname = " << target << "\ndatabase = " << database
        << "\ndata_centre = west-colombo\ninitial_primary = a\naddress = 127.0.0.1:" << self.port
        << "\ncontrol = 127.0.0.1:" << self.control << "\n";
    std::string extra = m_extraSettings;
    for (auto at = extra.find("FOLDER"); at != std::string::npos; at = extra.find("FOLDER"))
        extra.replace(at, std::string("FOLDER").size(), m_folder.path() + "/" + target);
    ini << extra << "\n[members]\n";
    for (const auto& [name, member] : m_members)
        ini << name << " = 127.0.0.1:" << member.control << "\n";
    ini << "[delays_ms]\ncentral-kandy = 0.5\n[schema]\nsql = CREATE TABLE profiles(id INTEGER PRIMARY KEY, "
           "member TEXT, chest REAL)\n";
    return ini.str();
}

void TargetGroup::restart(const std::string& target)
{
    Member& member = m_members.at(target);
    const std::string path = m_folder.write(target + ".ini", settings(target));
    member.process = std::make_unique<ChildProcess>(
        std::vector<std::string> { STANDIN_TARGET, "--end_with_parent", "--settings=" + path });
    if (!eventually([&] { return httpCall(member.control, "GET", "/state").status == 200; }))
        throw std::runtime_error("target " + target + " did not start");
}

PgClient TargetGroup::connect(const std::string& target, const std::string& application) const
{
    return { m_members.at(target).port, database, application };
}

nlohmann::json TargetGroup::state(const std::string& target) const
{
    return nlohmann::json::parse(httpCall(m_members.at(target).control, "GET", "/state").body);
}

nlohmann::json TargetGroup::log(const std::string& target) const
{
    return nlohmann::json::parse(httpCall(m_members.at(target).control, "GET", "/log").body).at("entries");
}

int TargetGroup::faults(const std::string& target, const std::string& json) const
{
    return post(target, "/faults", json);
}

int TargetGroup::post(const std::string& target, const std::string& path, const std::string& json) const
{
    return httpCall(m_members.at(target).control, "POST", path, json).status;
}

bool TargetGroup::waitForPosition(const std::string& target, std::uint64_t position) const
{
    return eventually([&] { return state(target).at("position") == position; });
}

} // namespace Auburnpost::Test
