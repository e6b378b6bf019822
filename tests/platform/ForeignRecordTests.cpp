#include "platform/RecordingDelegate.h"
#include "platform/RowDecoder.h"
#include "platform/StoreCalls.h"
#include "proxy/PeerSnapshot.h"
#include "proxy/Proxy.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

using namespace Auburnpost;
using namespace Auburnpost::Platform;
using namespace Auburnpost::Proxy;
using nlohmann::json;

namespace {

constexpr Instant start { std::chrono::seconds(100) };

std::string base64(const std::string& bytes)
{
    std::string text(bytes.size() / 3 * 4 + 5, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

json goodRecord(const std::string& address)
{
    return { { "Service", "group" }, { "Address", address }, { "Zone", "west" }, { "Version", "v1" }, { "Slots", 3 },
        { "State", "ready" }, { "Sequence", 1 }, { "ColdRemainingMs", 0 }, { "born", 1788612291107 },
        { "DatabaseRole", "replica" } };
}

json rowOf(const std::string& key, std::uint64_t version, const json& value)
{
    return { { "Key", key }, { "RecordVersion", version }, { "Value", value } };
}

/// @return the text of a good record, with one field replaced by JSON text that need not be valid for it.
std::string recordWith(const std::string& field, const std::string& value)
{
    auto record = goodRecord("10.0.9.9:900");
    record[field] = "REPLACED";
    auto text = record.dump();
    constexpr std::string_view mark = "\"REPLACED\"";
    return text.replace(text.find(mark), mark.size(), value);
}

std::string recordWithout(const std::string& field)
{
    auto record = goodRecord("10.0.9.9:900");
    record.erase(field);
    return record.dump();
}

/// @return base64 values, or other JSON in their place, that name no target.
std::vector<json> foreignValues()
{
    constexpr std::size_t depth = 100000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::vector<json> values { "***", "", nullptr, 7, base64(""), base64("\xff\xfe\x80"), base64("null"), base64("[]"),
        base64(nested), base64(recordWith("Service", nested)), base64(std::string(depth, '[')),
        base64(recordWith("State", "\"ready\",\"State\":\"draining\"")), base64(recordWith("Zone", "\"\xff\"")) };
    for (const auto* const field : { "Slots", "Sequence", "ColdRemainingMs", "born" }) {
        for (const auto* const number : { "-1", "1e300", "-1e300", "1e999", "\"3\"", "null", "[]", "true" })
            values.push_back(base64(recordWith(field, number)));
    }
    for (const auto* const field : { "Slots", "Sequence", "born" }) {
        for (const auto* const number : { "2.5", "18446744073709551616" })
            values.push_back(base64(recordWith(field, number)));
    }
    values.push_back(base64(recordWith("Slots", "18446744073709551615")));
    for (const auto* const port : { ":0", ":65536", ":-1", ":", "", ":80x", ": 80" })
        values.push_back(base64(recordWith("Address", "\"10.0.9.9" + std::string(port) + "\"")));
    for (const auto* const field : { "Service", "Address", "Zone", "Version", "Slots", "State", "ColdRemainingMs",
             "Sequence", "DatabaseRole", "born" }) {
        values.push_back(base64(recordWithout(field)));
        values.push_back(base64(recordWith(field, "{}")));
        values.push_back(base64(recordWith(field, "null")));
        values.push_back(base64(recordWith(field, "1,\"" + std::string(field) + "\":1")));
    }
    return values;
}

/// A proxy that is given the store's replies as text.
struct Fixture {
    Fixture()
    {
        const json configuration { { "Version", 4 },
            { "Routes",
                { { { "Name", "r" }, { "Host", "database" }, { "Kind", "primary" }, { "TimeoutMs", 2000 },
                    { "Service", "group" } } } },
            { "Services", { { { "Name", "group" }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } } } },
            { "Limits", json::object() } };
        proxy.tableRead(
            now, StoreTable::Configuration, page(json::array({ rowOf("config", 1, base64(configuration.dump())) }), 1));
    }

    static Expected<StorePage> page(const json& rows, std::uint64_t asOf)
    {
        const json body { { "rows", rows }, { "HasMore", false }, { "RecordVersion", asOf }, { "NowMs", 1 } };
        return readPage(PlatformReply { 200, body.dump(), {} });
    }

    void follow(const json& rows, std::uint64_t asOf)
    {
        proxy.tableFollowed(now, StoreTable::Targets, page(rows, asOf));
    }

    [[nodiscard]] std::set<std::string> membersOf(const Auburnpost::Proxy::Proxy& host) const
    {
        const auto state = json::parse(host.dump(now));
        std::set<std::string> names;
        for (const auto& [name, member] : state.at("groups").at("group").at("members").items())
            names.insert(name);
        return names;
    }

    Instant now { start };
    RecordingDelegate delegate;
    RowDecoder decoder;
    Auburnpost::Proxy::Proxy proxy { start, ProxySettings {}, decoder, delegate, 1 };
};

const std::set<std::string> goodNames { "i-1", "i-2" };

} // namespace

TEST_CASE("Records of a foreign writer name no target and keep no other record from use", "[platform][foreign]")
{
    Fixture test;
    auto rows = json::array({ rowOf("i-1", 2, base64(goodRecord("10.0.0.1:80").dump())) });
    std::uint64_t version = 2;
    const auto values = foreignValues();
    for (std::size_t index = 0; index < values.size(); ++index)
        rows.push_back(rowOf("odd-" + std::to_string(index), ++version, values[index]));
    rows.push_back(rowOf(std::string(200, 'k'), ++version, "***"));
    rows.push_back(rowOf("i-2", ++version, base64(goodRecord("10.0.0.2:80").dump())));
    test.proxy.tableRead(test.now, StoreTable::Targets, Fixture::page(rows, version));

    CHECK(test.proxy.isReady());
    CHECK(test.membersOf(test.proxy) == goodNames);
    const auto logged = test.delegate.fieldsOf(LogEvent::TargetRecordInvalid, "row");
    CHECK(logged.size() == values.size() + 1);
    CHECK(std::set<std::string>(logged.begin(), logged.end()).size() == logged.size());
    for (const auto& problem : test.delegate.fieldsOf(LogEvent::TargetRecordInvalid, "problem"))
        CHECK(problem.size() < 1000);

    SECTION("the table goes on being followed, and no problem is logged twice")
    {
        test.follow(json::array({ rowOf("i-3", version + 1, base64(goodRecord("10.0.0.3:80").dump())) }), version + 1);
        CHECK(test.membersOf(test.proxy) == std::set<std::string> { "i-1", "i-2", "i-3" });
        CHECK(test.delegate.fieldsOf(LogEvent::TargetRecordInvalid, "row").size() == logged.size());
        CHECK(test.delegate.polls.at(StoreTable::Targets) == 2);
    }
    SECTION("a host that gets the table from this one uses the same targets")
    {
        const auto snapshot = decodeSnapshot(encodeSnapshot(test.proxy.tables()));
        REQUIRE(snapshot);
        RecordingDelegate delegate;
        Auburnpost::Proxy::Proxy peer(start, ProxySettings {}, test.decoder, delegate, 2);
        peer.peerAnswered(start, SocketAddress { "10.0.0.9", 1 }, snapshot);
        CHECK(test.membersOf(peer) == goodNames);
    }
    SECTION("connections are opened to the good targets only")
    {
        test.proxy.tick(test.now);
        REQUIRE_FALSE(test.delegate.connections.empty());
        for (const auto& [id, target] : test.delegate.connections)
            CHECK(goodNames.contains(target.name.value()));
    }
}

TEST_CASE("A record whose name or group would add a line to a connection names no target", "[platform][foreign]")
{
    Fixture test;
    auto rows = json::array({ rowOf("i-1", 2, base64(goodRecord("10.0.0.1:80").dump())) });
    std::uint64_t version = 2;
    for (const auto* const key :
        { "i-3\r\nQUERY 1 WRITE a b", "i-3\nQUERY 1 WRITE a b", "i-3\r", "i-3 i-4", "i-\x7f", "" }) {
        ++version;
        rows.push_back(rowOf(key, version, base64(goodRecord("10.0.0.2:" + std::to_string(version)).dump())));
    }
    const auto keys = rows.size() - 1;
    for (const auto* const group : { "group\\r\\nQUERY 1 WRITE a b", "group\\n", "group group", " " }) {
        ++version;
        rows.push_back(rowOf(
            "i-" + std::to_string(version), version, base64(recordWith("Service", "\"" + std::string(group) + "\""))));
    }
    const auto groups = rows.size() - 1 - keys;
    test.proxy.tableRead(test.now, StoreTable::Targets, Fixture::page(rows, version));
    CHECK(test.membersOf(test.proxy) == std::set<std::string> { "i-1" });
    CHECK(test.delegate.fieldsOf(LogEvent::TargetRecordInvalid, "row").size() == keys + groups);
    test.proxy.tick(test.now);
    for (const auto& [id, target] : test.delegate.connections)
        CHECK(target.name == TargetName("i-1"));
}

TEST_CASE("A page of foreign records only leaves the table followed", "[platform][foreign]")
{
    Fixture test;
    auto rows = json::array();
    std::uint64_t version = 1;
    for (const auto& value : foreignValues()) {
        ++version;
        rows.push_back(rowOf("odd-" + std::to_string(version), version, value));
    }
    test.proxy.tableRead(test.now, StoreTable::Targets, Fixture::page(rows, version));
    CHECK_FALSE(test.proxy.isReady());
    test.follow(json::array({ rowOf("i-1", version + 1, base64(goodRecord("10.0.0.1:80").dump())) }), version + 1);
    CHECK(test.proxy.isReady());
}

TEST_CASE("A good record that a foreign writer replaces is used again once it is back", "[platform][foreign]")
{
    Fixture test;
    const auto good = base64(goodRecord("10.0.0.1:80").dump());
    test.proxy.tableRead(test.now, StoreTable::Targets, Fixture::page(json::array({ rowOf("i-1", 2, good) }), 2));
    std::uint64_t version = 2;
    for (const auto& value : foreignValues()) {
        test.follow(json::array({ rowOf("i-1", version + 1, value) }), version + 1);
        // The target may be alive, so it stays in use for a while.
        CHECK(test.membersOf(test.proxy) == std::set<std::string> { "i-1" });
        test.follow(json::array({ rowOf("i-1", version + 2, good) }), version + 2);
        version += 2;
    }
    test.now += std::chrono::seconds(10);
    test.proxy.tick(test.now);
    CHECK(test.membersOf(test.proxy) == std::set<std::string> { "i-1" });
}

TEST_CASE("A key with bytes that are not UTF-8 keeps no other row of its page from use", "[platform][foreign]")
{
    const auto good = goodRecord("10.0.0.1:80").dump();
    const auto body = R"({"rows":[{"Key":")" + std::string("odd\xff\xc3") + R"(","RecordVersion":2,"Value":"***"},)"
        + R"({"Key":"i-1","RecordVersion":3,"Value":")" + base64(good) + R"("}],"RecordVersion":3})";
    const auto page = readPage(PlatformReply { 200, body, {} });
    REQUIRE(page);
    REQUIRE(page->rows.size() == 2);
    CHECK(page->rows[1].value == good);
    Fixture test;
    test.proxy.tableRead(test.now, StoreTable::Targets, page);
    CHECK(test.membersOf(test.proxy) == std::set<std::string> { "i-1" });
}
