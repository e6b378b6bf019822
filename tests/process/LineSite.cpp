#include "process/LineSite.h"

#include "process/LocalHttp.h"

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace Auburnpost::Test {

namespace {

    using Json = nlohmann::json;

    constexpr auto group = "g-1";
    constexpr int storeVersion = 100;
    constexpr int requestTimeoutS = 2;

    std::string encodeBase64(const std::string& bytes)
    {
        constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        constexpr std::size_t bytesPerGroup = 3;
        constexpr std::size_t lettersPerGroup = 4;
        constexpr unsigned bitsPerByte = 8;
        constexpr unsigned bitsPerLetter = 6;
        constexpr unsigned letterMask = 63;
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += bytesPerGroup) {
            unsigned bits = 0;
            for (std::size_t index = 0; index < bytesPerGroup; ++index)
                bits = bits << bitsPerByte
                    | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
            for (std::size_t index = 0; index < lettersPerGroup; ++index) {
                const auto shift = bitsPerLetter * (lettersPerGroup - 1 - index);
                text += at + index <= bytes.size() ? letters[bits >> shift & letterMask] : '=';
            }
        }
        return text;
    }

    std::string localAddress(std::uint16_t port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    Json makeRow(const std::string& key, const std::string& value)
    {
        return { { "Key", key }, { "Value", encodeBase64(value) }, { "RecordVersion", storeVersion } };
    }

} // namespace

LineStore::LineStore(std::uint16_t targetPort)
    : m_configuration(Json { { "Version", 1 },
        { "Routes",
            Json::array({ { { "Name", "r-1" }, { "Host", "orders" }, { "Kind", "primary" }, { "TimeoutMs", 2000 },
                { "Priority", 0 }, { "Service", group } } }) },
        { "Services",
            Json::array(
                { { { "Name", group }, { "ConnectionLimit", LineTarget::connectionLimit }, { "SyncReplicas", 0 } } }) },
        { "Limits", { { "TxIdleMs", 3000 } } } }
                          .dump())
    , m_target(Json { { "Service", group }, { "Address", localAddress(targetPort) }, { "Zone", "zone-a" },
          { "Version", "v1" }, { "Slots", 4 }, { "State", "ready" }, { "Sequence", 1 }, { "ColdRemainingMs", 0 },
          { "born", 1790000000000ULL }, { "DatabaseRole", "primary" } }
                   .dump())
{
}

LineStore::~LineStore()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_stopped.notify_all();
    m_server.stop();
}

std::string LineStore::answer(const std::string& target)
{
    const bool isRead = target.find("/rows-get") != std::string::npos;
    if (target.find("/rows-feed") != std::string::npos) {
        const auto wait = target.find("WaitMs=");
        std::unique_lock lock(m_mutex);
        m_stopped.wait_for(lock, std::chrono::milliseconds(std::stoi(target.substr(wait + sizeof("WaitMs=") - 1))),
            [this] { return m_isStopping; });
    }
    Json rows = Json::array();
    if (isRead && target.find("Table=op&") != std::string::npos)
        rows.push_back(makeRow("config", m_configuration));
    if (isRead && target.find("Table=servers&") != std::string::npos)
        rows.push_back(makeRow("t-1", m_target));
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Json {
        { "rows", rows }, { "RecordVersion", storeVersion }, { "HasMore", false },
        { "NowMs", std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count() }
    }.dump();
}

void LineStore::serve(const LoopbackSocket& connection)
{
    SocketReader reader(connection);
    std::string line;
    while (reader.readLine(line)) {
        std::istringstream words(line);
        std::string method;
        std::string target;
        words >> method >> target;
        std::size_t length = 0;
        while (reader.readLine(line) && !line.empty()) {
            constexpr std::string_view lengthHeader = "Content-Length: ";
            if (line.starts_with(lengthHeader))
                length = std::stoul(line.substr(lengthHeader.size()));
        }
        std::string body;
        if (!reader.readBytes(length, body))
            return;
        const auto text = answer(target);
        if (!connection.sendAll("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + std::to_string(text.size()) + "\r\n\r\n" + text))
            return;
    }
}

void LineTarget::serve(const LoopbackSocket& connection)
{
    if (++m_connections > connectionLimit)
        (void)connection.sendAll("ERROR TOOMANY all connections are in use\r\n");
    else
        serveConnection(connection);
    --m_connections;
}

void LineTarget::serveConnection(const LoopbackSocket& connection)
{
    const std::string largeRow = "ROW " + std::string(largeRowBytes, 'x') + "\r\n";
    SocketReader reader(connection);
    char state = 'I';
    const auto ready
        = [this, &state] { return std::string("READY ") + state + " 1." + std::to_string(m_position.load()) + "\r\n"; };
    std::string line;
    if (!reader.readLine(line) || !connection.sendAll(ready()))
        return;
    while (reader.readLine(line)) {
        std::istringstream words(line.substr(0, 200));
        std::string word;
        std::string verb;
        std::string item;
        words >> word >> word >> verb;
        if (verb == "AFTER")
            words >> word >> verb;
        words >> item;
        std::string answer;
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
            answer = "ROW primary 1 1." + std::to_string(m_position.load()) + " 0 0 0 "
                + std::to_string(m_connections.load()) + "\r\n";
        else if (verb == "BEGIN")
            state = 'T';
        else if (verb == "COMMIT" || verb == "ROLLBACK" || verb == "RESET")
            state = 'I';
        else if (verb == "WRITE")
            ++m_position;
        else if (verb == "READ" && item != "large")
            answer = "ROW value\r\n";
        for (std::size_t row = 0; verb == "READ" && item == "large" && row < largeRows; ++row)
            answer += largeRow;
        if (!connection.sendAll(answer + "DONE -\r\n" + ready()))
            return;
    }
}

LineSite::LineSite(int memoryMb, int descriptors)
{
    const auto control = localAddress(freePort());
    const auto firstInternalPort = freePort();
    const auto lastInternalPort = freePort();
    const Json settings { { "Node", "host-1" }, { "Zone", "zone-a" }, { "Ip", "127.0.0.1" },
        { "Listen",
            { { "Front", localAddress(m_callers) }, { "Ready", localAddress(m_readiness) }, { "Control", control } } },
        { "InternalPorts", { firstInternalPort, lastInternalPort } }, { "Seeds", Json::array() },
        { "Limits",
            { { "CpuShare", 0.3 }, { "MemoryMb", memoryMb }, { "FileDescriptors", descriptors },
                { "LinkMbps", 100 } } },
        { "Bounds",
            { { "ConfigPropagationMs", 6000 }, { "StabilityWindowMs", 6000 }, { "DrainMs", 10000 }, { "GraceS", 6 } } },
        { "platform", { { "Address", localAddress(m_store.port()) } } },
        { "Cloud", { { "Address", localAddress(m_store.port()) } } } };
    ::setenv("AUBURNPOST_SETTINGS", m_folder.write("settings.json", settings.dump()).c_str(), 1);
    m_process = std::make_unique<ChildProcess>(
        std::vector<std::string> { AUBURNPOST_PROGRAM, "proxy", "--metrics_port=" + std::to_string(freePort()) });
    const bool isServing = eventually([this] { return servesRequest(); });
    if (!isServing)
        throw std::runtime_error("the host does not serve");
}

bool LineSite::servesRequest() const
{
    const auto connection = LoopbackSocket::connectTo(m_callers);
    if (!connection.isOpen())
        return false;
    connection.setReceiveTimeout(requestTimeoutS);
    SocketReader reader(connection);
    std::string line;
    if (!connection.sendAll("START orders key\r\n") || !reader.readLine(line) || !line.starts_with("READY "))
        return false;
    return connection.sendAll("QUERY 1 READ item\r\n") && reader.readLine(line) && line == "ROW value";
}

} // namespace Auburnpost::Test
