// Stand-ins for the review's scripts: the platform's store, the servers of one service and a requester, as
// PROTOCOL.md describes them. Everything listens on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Writes lines with the time since the start to record.txt.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", std::chrono::duration<double>(Clock::now() - m_start).count());
        m_file << time << printable(text) << std::endl;
    }
    static std::string printable(const std::string& text)
    {
        std::string shown;
        for (const char letter : text) {
            if (letter == '\n')
                shown += "\\n";
            else if (letter == '\r')
                shown += "\\r";
            else
                shown += letter;
        }
        return shown;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start { Clock::now() };
};

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Binds a free port of a loopback address.
inline int listenOn(const std::string& ip, int& port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = addressOf(ip, port);
    if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) || listen(descriptor, 256))
        return -1;
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

inline int freePort(const std::string& ip)
{
    int port = 0;
    const int descriptor = listenOn(ip, port);
    close(descriptor);
    return port;
}

inline bool sendAll(int descriptor, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads lines that end with CR LF, and blocks of bytes.
class Reader {
public:
    explicit Reader(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    /// @return nothing at the end of the connection, or after the time limit.
    std::optional<std::string> line(int timeoutMs = -1)
    {
        const auto end = Clock::now() + std::chrono::milliseconds(timeoutMs);
        while (true) {
            const auto found = m_text.find("\r\n");
            if (found != std::string::npos) {
                auto line = m_text.substr(0, found);
                m_text.erase(0, found + 2);
                return line;
            }
            if (!fill(timeoutMs < 0 ? -1 : remaining(end)))
                return {};
        }
    }
    std::optional<std::string> bytes(std::size_t count)
    {
        while (m_text.size() < count) {
            if (!fill(-1))
                return {};
        }
        auto block = m_text.substr(0, count);
        m_text.erase(0, count);
        return block;
    }
    bool isClosed() const { return m_isClosed; }

private:
    static int remaining(Clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()).count();
        return left > 0 ? static_cast<int>(left) : 0;
    }
    bool fill(int timeoutMs)
    {
        pollfd input { m_descriptor, POLLIN, 0 };
        if (poll(&input, 1, timeoutMs) <= 0)
            return false;
        char buffer[65536];
        const auto count = recv(m_descriptor, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            m_isClosed = true;
            return false;
        }
        m_text.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int m_descriptor;
    std::string m_text;
    bool m_isClosed { false };
};

inline void acceptLoop(int listener, const std::function<void(int)>& serve)
{
    std::thread([listener, serve] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            std::thread([descriptor, serve] {
                serve(descriptor);
                close(descriptor);
            }).detach();
        }
    }).detach();
}

inline std::string encodeBase64(const std::string& bytes)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8 | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text += at + index <= bytes.size() ? letters[group >> (18 - 6 * index) & 63] : '=';
    }
    return text;
}

/// The platform's metadata store, and the address of the singleton duties.
class Store {
public:
    Store(std::string ip, Record& record)
        : m_ip(std::move(ip))
        , m_record(record)
    {
        const int listener = listenOn(m_ip, m_port);
        acceptLoop(listener, [this](int descriptor) { serve(descriptor); });
    }
    int port() const { return m_port; }
    void put(const std::string& table, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[table][key] = { encodeBase64(value), ++m_version, false };
        m_changed.notify_all();
    }
    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[table][key] = { "", ++m_version, true };
        m_changed.notify_all();
    }
    /// Called for POST /promotion; returns the status.
    std::function<int(const std::string& service, const std::string& id)> onPromotion;

private:
    struct Row {
        std::string value;
        std::uint64_t version;
        bool isDeleted;
    };

    void serve(int descriptor)
    {
        Reader reader(descriptor);
        while (const auto first = reader.line()) {
            std::istringstream words(*first);
            std::string method;
            std::string target;
            words >> method >> target;
            std::size_t length = 0;
            std::map<std::string, std::string> headers;
            while (const auto header = reader.line()) {
                if (header->empty())
                    break;
                const auto colon = header->find(':');
                auto name = header->substr(0, colon);
                for (auto& letter : name)
                    letter = static_cast<char>(tolower(letter));
                headers[name] = header->substr(header->find_first_not_of(' ', colon + 1));
            }
            if (headers.count("content-length"))
                length = std::stoul(headers["content-length"]);
            const auto body = reader.bytes(length);
            if (!body)
                return;
            auto [status, answer] = handle(method, target, *body, headers);
            const auto text = answer.dump();
            if (!sendAll(descriptor,
                    "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
            if (headers.count("connection") && headers["connection"] == "close")
                return;
        }
    }

    static std::string decode(const std::string& text)
    {
        std::string plain;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                plain += text[at];
            }
        }
        return plain;
    }

    Json rowJson(const std::string& table, const std::string& key, const Row& row) const
    {
        Json json { { "Table", table }, { "part", "" }, { "Key", key }, { "RecordVersion", row.version } };
        if (row.isDeleted)
            json["Deleted"] = true;
        else
            json["Value"] = row.value;
        return json;
    }

    Json about(Json rows) const
    {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
        return { { "rows", std::move(rows) }, { "RecordVersion", m_version }, { "NowMs", now }, { "HasMore", false } };
    }

    std::pair<int, Json> handle(const std::string& method, const std::string& target, const std::string& body,
        std::map<std::string, std::string>& headers)
    {
        const auto mark = target.find('?');
        const auto path = target.substr(0, mark);
        std::map<std::string, std::string> query;
        if (mark != std::string::npos) {
            std::istringstream fields(target.substr(mark + 1));
            std::string field;
            while (std::getline(fields, field, '&')) {
                const auto equals = field.find('=');
                query[field.substr(0, equals)] = decode(field.substr(equals + 1));
            }
        }
        std::unique_lock lock(m_mutex);
        if (path == "/auburnpost/rows-get") {
            Json rows = Json::array();
            std::size_t limit = query.count("Limit") ? std::stoul(query["Limit"]) : 500;
            for (const auto& [key, row] : m_rows[query["Table"]]) {
                if (key >= query["From"] && !row.isDeleted && rows.size() < limit)
                    rows.push_back(rowJson(query["Table"], key, row));
            }
            return { 200, about(std::move(rows)) };
        }
        if (path == "/auburnpost/rows-feed") {
            const auto after = std::stoull(query["after"]);
            const auto changed = [&] {
                for (const auto& [key, row] : m_rows[query["Table"]]) {
                    if (row.version > after)
                        return true;
                }
                return false;
            };
            m_changed.wait_for(lock, std::chrono::milliseconds(std::stoi(query["WaitMs"])), changed);
            std::map<std::uint64_t, Json> ordered;
            for (const auto& [key, row] : m_rows[query["Table"]]) {
                if (row.version > after)
                    ordered[row.version] = rowJson(query["Table"], key, row);
            }
            Json rows = Json::array();
            for (auto& [version, row] : ordered)
                rows.push_back(row);
            return { 200, about(std::move(rows)) };
        }
        if (path == "/auburnpost/rows-tx") {
            const auto json = Json::parse(body);
            for (const auto& wanted : json.value("Precondition", Json::array())) {
                auto& table = m_rows[wanted.at("Table").get<std::string>()];
                const auto found = table.find(wanted.at("Key").get<std::string>());
                const auto version = found == table.end() || found->second.isDeleted ? 0 : found->second.version;
                if (version != wanted.at("RecordVersion").get<std::uint64_t>())
                    return { 412, about(Json::array()) };
            }
            ++m_version;
            for (const auto& row : json.value("Upserts", Json::array()))
                m_rows[row.at("Table").get<std::string>()][row.at("Key").get<std::string>()]
                    = { row.at("Value").get<std::string>(), m_version, false };
            m_changed.notify_all();
            return { 200, about(Json::array()) };
        }
        if (path == "/promotion" && method == "POST") {
            const auto json = Json::parse(body);
            const auto service = json.at("Service").get<std::string>();
            const auto id = json.at("Id").get<std::string>();
            m_record.line("platform: POST /promotion " + service + " " + id + " token " + headers["x-fencing-token"]);
            const int status = onPromotion ? onPromotion(service, id) : 409;
            return { status, Json::object() };
        }
        return { 404, Json::object() };
    }

    std::string m_ip;
    Record& m_record;
    int m_port { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Row>> m_rows;
    std::uint64_t m_version { 100 };
};

/// One service: a primary and its replicas, which receive each commit at once.
class Service {
public:
    struct Run {
        std::string id;
        std::string text;
        std::string server;
    };

    Service(std::string name, std::string ip, std::size_t copies, Store& store, Record& record)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_store(store)
        , m_record(record)
    {
        for (std::size_t index = 0; index < copies; ++index) {
            auto server = std::make_unique<Server>();
            server->id = "i-" + std::to_string(index + 1) + "a7f3";
            server->isPrimary = index == 0;
            const int listener = listenOn(m_ip, server->port);
            auto* const own = server.get();
            m_servers.push_back(std::move(server));
            acceptLoop(listener, [this, own](int descriptor) { serve(*own, descriptor); });
        }
        std::thread([this] {
            for (std::uint64_t sequence = 1;; ++sequence) {
                for (const auto& server : m_servers)
                    m_store.put("servers", server->id, entryOf(*server, sequence).dump());
                std::this_thread::sleep_for(std::chrono::milliseconds(1200));
            }
        }).detach();
    }
    Json routeService() const { return { { "Name", m_name }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } }; }
    const std::string& name() const { return m_name; }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    /// Work time of a read or write, in milliseconds.
    std::atomic<int> workMs { 5 };

private:
    struct Server {
        std::string id;
        int port { 0 };
        bool isPrimary { false };
    };
    struct Connection {
        std::map<std::string, std::string> values;
        std::map<std::string, std::pair<std::string, std::string>> prepared;
        char state { 'I' };
        std::vector<std::pair<std::string, std::string>> writes;
    };

    Json entryOf(const Server& server, std::uint64_t sequence) const
    {
        return { { "Service", m_name }, { "Address", m_ip + ":" + std::to_string(server.port) }, { "Zone", "zone-a" },
            { "Version", "v1" }, { "Slots", 3 }, { "State", "ready" }, { "ColdRemainingMs", 0 },
            { "DatabaseRole", server.isPrimary ? "primary" : "replica" }, { "Sequence", sequence },
            { "born", 1790000000000ULL } };
    }

    std::string position()
    {
        const std::lock_guard lock(m_mutex);
        return "1." + std::to_string(m_position);
    }

    void serve(Server& server, int descriptor)
    {
        Reader reader(descriptor);
        const auto start = reader.line();
        if (!start)
            return;
        std::istringstream words(*start);
        std::string word;
        std::string service;
        std::string who;
        std::string id;
        words >> word >> service >> who >> id;
        if (word != "START" || service != m_name || (!id.empty() && id != server.id)) {
            sendAll(descriptor, "ERROR MISROUTED " + server.id + "\r\n");
            return;
        }
        sendAll(descriptor, "READY I " + position() + "\r\n");
        Connection connection;
        while (const auto line = reader.line()) {
            if (line->rfind("QUERY ", 0) != 0)
                return;
            const auto blank = line->find(' ', 6);
            const auto statementId = line->substr(6, blank - 6);
            if (!sendAll(descriptor, answer(server, connection, statementId, line->substr(blank + 1))))
                return;
        }
    }

    std::string answer(Server& server, Connection& connection, const std::string& id, std::string text)
    {
        const auto ready = [&] {
            return std::string("READY ") + connection.state + " " + position() + "\r\n";
        };
        const auto statement = text;
        if (text.rfind("AFTER ", 0) == 0)
            text.erase(0, text.find(' ', 6) + 1);
        const auto verb = text.substr(0, text.find(' '));
        const auto rest = text.size() > verb.size() ? text.substr(verb.size() + 1) : std::string();
        const auto done = [&](bool hasMac) {
            return std::string("DONE ") + (hasMac ? "1.ab." + std::to_string(++m_macs) + ".90e1c4d2a7b3f655" : "-")
                + "\r\n" + ready();
        };
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
            return std::string("ROW ") + (server.isPrimary ? "primary" : "replica") + " 1 " + position()
                + " 0 0 0 5\r\n" + done(false);
        if (id != "-")
            run(server, id, text);
        if (verb == "RESET") {
            connection.values.clear();
            connection.prepared.clear();
            return done(false);
        }
        if (verb == "SET" || verb == "PREPARE")
            return done(false);
        if (verb == "BEGIN") {
            connection.state = 'T';
            return done(false);
        }
        if (verb == "ROLLBACK" || verb == "COMMIT") {
            connection.state = 'I';
            return done(verb == "COMMIT");
        }
        if (verb == "WRITE" && !server.isPrimary)
            return "ERROR READONLY " + server.id + "\r\n" + ready();
        std::this_thread::sleep_for(std::chrono::milliseconds(workMs));
        if (verb == "WRITE") {
            {
                const std::lock_guard lock(m_mutex);
                const auto blank = rest.find(' ');
                m_data[rest.substr(0, blank)] = rest.substr(blank + 1);
                ++m_position;
            }
            return done(true);
        }
        std::string row;
        {
            const std::lock_guard lock(m_mutex);
            row = m_data.count(rest) ? m_data[rest] : "empty";
        }
        return "ROW " + row + "\r\n" + done(true);
    }

    void run(const Server& server, const std::string& id, const std::string& text)
    {
        m_record.line("server " + server.id + " runs: " + id + " " + text);
        const std::lock_guard lock(m_mutex);
        m_runs.push_back({ id, text, server.id });
    }

    std::string m_name;
    std::string m_ip;
    Store& m_store;
    Record& m_record;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::mutex m_mutex;
    std::map<std::string, std::string> m_data;
    std::uint64_t m_position { 1 };
    std::atomic<std::uint64_t> m_macs { 0 };
    std::vector<Run> m_runs;
};

/// A process of the system, started as the deploy file says.
class Host {
public:
    Host(std::string program, std::string folder, std::string name, std::string ip, int platformPort,
        const std::string& platformIp)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_name(std::move(name))
        , m_ip(std::move(ip))
    {
        front = freePort(m_ip);
        ready = freePort(m_ip);
        control = freePort(m_ip);
        m_metrics = freePort(m_ip);
        const int first = freePort(m_ip);
        const int last = freePort(m_ip);
        const auto at = [this](int port) { return m_ip + ":" + std::to_string(port); };
        const auto platform = platformIp + ":" + std::to_string(platformPort);
        const Json settings { { "Node", m_name }, { "Role", "entry" }, { "MachineClass", "front" },
            { "Serves", { "front", "control" } }, { "Ip", m_ip }, { "Zone", "zone-a" }, { "Region", "region-a" },
            { "Zones", { { "zone-a", "region-a" } } },
            { "Listen", { { "Front", at(front) }, { "Ready", at(ready) }, { "Control", at(control) } } },
            { "InternalPorts", { first, last } }, { "Seeds", Json::array({ at(control) }) }, { "FirstStart", true },
            { "Limits",
                { { "CpuShare", 0.17 }, { "Cores", 1 }, { "MemoryMb", 182 }, { "FileDescriptors", 3010 },
                    { "LinkMbps", 700.0 }, { "DiskMb", 0 } } },
            { "DataDirectory", nullptr }, { "HeartbeatMs", 1200 },
            { "Bounds",
                { { "SeedLagS", 3 }, { "ReuseAfterS", 2 }, { "StabilityWindowMs", 5000 }, { "AcknowledgeMs", 6000 },
                    { "CatchUpS", 4 }, { "DrainMs", 7000 }, { "GraceS", 6 }, { "LossSlackMs", 200 },
                    { "ConfigPropagationMs", 4000 }, { "RollbackSlackMs", 250 }, { "OuterBoundMs", 15000 },
                    { "RecoveryS", 12 }, { "FencingRequired", false }, { "ThawSlackMs", 300 } } },
            { "platform", { { "Address", platform }, { "form", "table" } } },
            { "Cloud", { { "Address", platform }, { "RatePerS", 50.0 }, { "DutyPerS", 50.0 } } } };
        std::ofstream(m_folder + "/" + m_name + ".json") << settings.dump(2);
    }
    ~Host() { kill(); }

    void start()
    {
        const auto log = m_folder + "/" + m_name + ".log";
        const auto metrics = "--metrics-port=" + std::to_string(m_metrics);
        const auto path = m_folder + "/" + m_name + ".json";
        m_process = fork();
        if (m_process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            setenv("AUBURNPOST_SETTINGS", path.c_str(), 1);
            execl(m_program.c_str(), m_program.c_str(), "proxy", metrics.c_str(), nullptr);
            _exit(127);
        }
    }
    /// Waits until the host answers its readiness check.
    bool waitUntilReady(int seconds)
    {
        for (int attempt = 0; attempt < seconds * 10; ++attempt) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const auto address = addressOf(m_ip, ready);
            if (!connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address))) {
                sendAll(descriptor, "GET /auburnpost/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                const auto line = Reader(descriptor).line(1000);
                close(descriptor);
                if (line && line->find(" 200") != std::string::npos)
                    return true;
            } else {
                close(descriptor);
            }
        }
        return false;
    }
    void signal(int number) const { ::kill(m_process, number); }
    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
    const std::string& ip() const { return m_ip; }
    int front { 0 };
    int ready { 0 };
    int control { 0 };

private:
    std::string m_program;
    std::string m_folder;
    std::string m_name;
    std::string m_ip;
    int m_metrics { 0 };
    pid_t m_process { 0 };
};

/// A requester's session.
class Requester {
public:
    struct Answer {
        std::vector<std::string> rows;
        /// The words after DONE, or the whole ERROR line.
        std::string outcome;
        bool isDone { false };
        /// READY arrived.
        bool isComplete { false };
        std::string state;
    };

    Requester(const Host& host, Record& record, std::string label)
        : m_record(record)
        , m_label(std::move(label))
        , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        , m_reader(m_descriptor)
    {
        const auto address = addressOf(host.ip(), host.front);
        (void)connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Requester() { close(m_descriptor); }
    bool start(const std::string& database)
    {
        send("START " + database + " u1\r\n");
        const auto line = m_reader.line(2000);
        m_record.line(m_label + " gets: " + line.value_or("(nothing)"));
        return line && line->rfind("READY", 0) == 0;
    }
    /// Sends one message; the caller adds CR LF.
    void send(const std::string& message)
    {
        m_record.line(m_label + " sends: " + message);
        sendAll(m_descriptor, message);
    }
    Answer receive(int timeoutMs)
    {
        Answer answer;
        while (const auto line = m_reader.line(timeoutMs)) {
            m_record.line(m_label + " gets: " + *line);
            if (line->rfind("ROW ", 0) == 0) {
                answer.rows.push_back(line->substr(4));
            } else if (line->rfind("DONE", 0) == 0) {
                answer.isDone = true;
                answer.outcome = line->substr(5);
            } else if (line->rfind("ERROR", 0) == 0) {
                answer.outcome = *line;
            } else if (line->rfind("READY ", 0) == 0) {
                answer.isComplete = true;
                answer.state = line->substr(6, 1);
                return answer;
            }
        }
        m_record.line(m_label + (m_reader.isClosed() ? ": the connection ended" : ": no answer in time"));
        return answer;
    }

private:
    Record& m_record;
    std::string m_label;
    int m_descriptor;
    Reader m_reader;
};

inline Json manifest(const Service& service)
{
    return { { "Version", 7 },
        { "Routes",
            Json::array({ { { "Name", "r-1" }, { "Host", "orders" }, { "PathPrefix", "/" }, { "Kind", "primary" },
                              { "TimeoutMs", 800 }, { "LatencyTargetMs", 600 }, { "Priority", 1 },
                              { "Service", service.name() }, { "Attempts", 2 } },
                { { "Name", "r-2" }, { "Host", "charts" }, { "PathPrefix", "/" }, { "Kind", "bounded_staleness" },
                    { "TimeoutMs", 2000 }, { "LatencyTargetMs", 1000 }, { "Priority", 2 },
                    { "Service", service.name() }, { "Attempts", 2 }, { "MaxStalenessMs", 1500 } } }) },
        { "Services", Json::array({ service.routeService() }) }, { "Limits", { { "TxIdleMs", 3000 } } } };
}

} // namespace Review
