#include "process/HttpSite.h"

#include "process/LocalHttp.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Auburnpost::Test {

namespace {

    using Json = nlohmann::json;

    constexpr auto organisation = "ranwala";
    constexpr auto key = "abc";
    /// SHA-256 of the key.
    constexpr auto keyDigest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    constexpr auto dataCentre = "west-colombo";
    constexpr int statusOk = 200;

    std::string localAddress(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::string path()
    {
        return std::string("/v1/") + organisation + "/statements";
    }

    std::string body(const std::string& sql, const std::string& parameter)
    {
        return Json {
            { "database", TargetGroup::database }, { "sql", sql }, { "params", { parameter } }, { "access", "read" }
        }.dump();
    }

    std::string document(std::uint16_t targetPort)
    {
        const Json target { { "name", "a" }, { "address", localAddress(targetPort) }, { "data_centre", dataCentre } };
        const Json database { { "targets", Json::array({ target }) }, { "connection_cap", 50 }, { "slots", 3 } };
        const Json member { { "databases", { TargetGroup::database } }, { "keys", { keyDigest } } };
        return Json {
            { "sections",
                { { "placement", { { "databases", { { TargetGroup::database, database } } } } },
                    { "organisations", { { organisation, member } } }, { "staleness", { { "default_ms", 1000 } } },
                    { "maintenance", { { "leaving_targets", Json::array() }, { "switches", Json::array() } } } } }
        }.dump();
    }

} // namespace

HttpSite::HttpSite(int memoryMb)
{
    const auto documentFile = m_folder.write("document.json", document(m_targets.port("a")));
    const auto platform = m_folder.write("platform.ini",
        "[platform]\naddress = " + localAddress(m_platformPort) + "\ncontrol = " + localAddress(m_platformControl)
            + "\ndocument_file = " + documentFile + "\n[host.host-1]\ndata_centre = " + dataCentre
            + "\noperators = " + localAddress(m_operators) + "\npeers = " + localAddress(m_peers)
            + "\ngossip = " + localAddress(m_gossip) + "\n");
    m_platform = std::make_unique<ChildProcess>(
        std::vector<std::string> { STANDIN_PLATFORM, "--end_with_parent", "--settings=" + platform });
    const auto settings = m_folder.write("host.ini",
        std::string("[host]\nname = host-1\ndata_centre = ") + dataCentre
            + "\n[listen]\ncallers = " + localAddress(m_callers) + "\noperators = " + localAddress(m_operators)
            + "\npeers = " + localAddress(m_peers) + "\ngossip = " + localAddress(m_gossip) + "\n[platform]\naddress = "
            + localAddress(m_platformPort) + "\n[session]\nsigning_key = 000102030405060708090a0b0c0d0e0f\n[limits]\n"
            + "max_callers = " + std::to_string(callerLimit) + "\nmemory = " + std::to_string(memoryMb) + "MB\n");
    m_host = std::make_unique<ChildProcess>(
        std::vector<std::string> { AUBURNPOST_PROGRAM, "serve", "--settings=" + settings });
    const bool isServing = eventually([this] { return servesRequest(); });
    if (!isServing)
        throw std::runtime_error("the host does not serve");
}

std::string HttpSite::request(const std::string& sql, const std::string& parameter)
{
    const auto text = body(sql, parameter);
    return "POST " + path() + " HTTP/1.1\r\nHost: test\r\nContent-Type: application/json\r\nAuthorization: Bearer "
        + key + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

bool HttpSite::servesRequest() const
{
    const auto answer = httpCall(m_callers, "POST", path(), body("SELECT $1", "value"),
        { { "Authorization", std::string("Bearer ") + key }, { "Content-Type", "application/json" } });
    return answer.status == statusOk;
}

} // namespace Auburnpost::Test
