#include "process/ChildProcess.h"
#include "process/FakeHost.h"
#include "process/LocalHttp.h"

#include <catch2/catch.hpp>
#include <future>
#include <nlohmann/json.hpp>

using namespace Auburnpost::Test;

namespace {

class Platform {
public:
    explicit Platform(const std::string& extra = "")
    {
        const std::string text = "[platform]\naddress = 127.0.0.1:" + std::to_string(m_port)
            + "\ncontrol = 127.0.0.1:" + std::to_string(m_control)
            + "\ndocument_file = " + m_folder.write("document.json", "{\"a\":1}") + "\n" + extra + "\n";
        m_process = std::make_unique<ChildProcess>(std::vector<std::string> {
            STANDIN_PLATFORM, "--end_with_parent", "--settings=" + m_folder.write("platform.ini", text) });
        if (!eventually([&] { return get("/hosts").status == 200; }))
            throw std::runtime_error("the platform did not start");
    }

    HttpAnswer get(const std::string& path, const std::string& host = "host-1") const
    {
        return httpCall(m_port, "GET", path, "", { { "User-Agent", host + "/west-colombo" } });
    }
    HttpAnswer put(const std::string& path, const std::string& body, const std::string& version) const
    {
        return httpCall(m_port, "PUT", path, body, { { "If-Match", version }, { "User-Agent", "host-1/x" } });
    }
    int faults(const std::string& json) const { return httpCall(m_control, "POST", "/faults", json).status; }
    nlohmann::json state() const { return nlohmann::json::parse(httpCall(m_control, "GET", "/state").body); }

private:
    std::uint16_t m_port { freePort() };
    std::uint16_t m_control { freePort() };
    TemporaryFolder m_folder;
    std::unique_ptr<ChildProcess> m_process;
};

constexpr auto row = "/table/groups/sizing-core-1";

} // namespace

TEST_CASE("A row is written only when the request names its current version", "[platform]")
{
    const Platform platform;
    CHECK(platform.get(row).status == 404);
    CHECK(platform.put(row, "first", "1").status == 412);
    CHECK(platform.put(row, "first", "0").headers.at("Version") == "1");
    const HttpAnswer late = platform.put(row, "late", "0");
    CHECK(late.status == 412);
    CHECK(late.headers.at("Version") == "1");
    CHECK(platform.put(row, "second", "1").headers.at("Version") == "2");
    CHECK(platform.put(row, "third", "two").status == 400);
    const HttpAnswer read = platform.get(row);
    CHECK(read.body == "second");
    CHECK(read.headers.at("Version") == "2");
    CHECK(nlohmann::json::parse(platform.get("/table/groups").body)
        == nlohmann::json::parse(R"({"rows":[{"row":"sizing-core-1","version":2}]})"));
    CHECK(platform.get("/table/config/document").body == "{\"a\":1}");
}

TEST_CASE("A large object is read back unchanged", "[platform]")
{
    const Platform platform;
    const std::string content(1'000'000, 'x');
    CHECK(platform.get("/objects/map").status == 404);
    CHECK(platform.put("/objects/map", content, "0").status == 200);
    CHECK(platform.get("/objects/map").body == content);
}

TEST_CASE("The platform refuses writes above its rate limit and still serves reads", "[platform]")
{
    const Platform platform("writes_per_second = 1");
    int refused = 0;
    for (int version = 0; version < 5; ++version)
        refused += platform.put(row, "x", std::to_string(version)).status == 503;
    CHECK(refused > 0);
    CHECK(platform.get(row).status == 200);
}

TEST_CASE("During an outage or a cut the platform neither answers nor executes a call", "[platform]")
{
    const Platform platform;
    const std::string fault = GENERATE(R"([{"kind":"outage"}])", R"([{"kind":"cut","peers":["host-1"]}])");
    REQUIRE(platform.faults(fault) == 200);
    auto call = std::async(std::launch::async, [&] { return platform.put(row, "x", "0"); });
    REQUIRE(eventually([&] { return platform.state().at("counters").value("stalled", 0) == 1; }));
    if (fault.find("cut") != std::string::npos)
        CHECK(platform.get("/hosts", "host-2").status == 200);
    REQUIRE(platform.faults("[]") == 200);
    CHECK(call.get().status == 0);
    CHECK(platform.get(row).status == 404);
}

TEST_CASE("The platform can lose the answer to a write that it executed", "[platform]")
{
    const Platform platform;
    CHECK(platform.faults(R"([{"kind":"crash","at":"after_commit"}])") == 400);
    REQUIRE(platform.faults(R"([{"kind":"lose_answers","share":1}])") == 200);
    CHECK(platform.put(row, "x", "0").status == 0);
    REQUIRE(platform.faults("[]") == 200);
    CHECK(platform.get(row).headers.at("Version") == "1");
}

TEST_CASE("The host list shows the state that a host answered, delayed by the lag fault", "[platform]")
{
    FakeHost host;
    const Platform platform("host_list_lag_ms = 0\n[host.host-1]\ndata_centre = west-colombo\ngossip = 127.0.0.1:1\n"
                            "peers = 127.0.0.1:2\noperators = 127.0.0.1:"
        + std::to_string(host.port()));
    const auto listedState = [&] {
        const auto hosts = nlohmann::json::parse(platform.get("/hosts").body).at("hosts");
        return hosts.empty() ? "" : hosts.at(0).at("state").get<std::string>();
    };
    CHECK(eventually([&] { return listedState() == "live"; }));
    host.setStatus(503);
    CHECK(eventually([&] { return listedState() == "leaving"; }));

    REQUIRE(platform.faults(R"([{"kind":"lag","ms":600000}])") == 200);
    host.stop();
    CHECK(eventually([&] { return platform.state().at("hosts_found").empty(); }));
    CHECK(listedState() == "leaving");
}

TEST_CASE("A host that no longer answers is removed from the host list", "[platform]")
{
    FakeHost host;
    const Platform platform("host_list_lag_ms = 0\n[host.host-1]\ndata_centre = west-colombo\ngossip = 127.0.0.1:1\n"
                            "peers = 127.0.0.1:2\noperators = 127.0.0.1:"
        + std::to_string(host.port()));
    const auto listedHosts = [&] { return platform.state().at("hosts").size(); };
    REQUIRE(eventually([&] { return listedHosts() == 1; }));
    host.stop();
    CHECK(eventually([&] { return listedHosts() == 0; }));
}
