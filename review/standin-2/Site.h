#pragma once

// A small deployment on loopback addresses for the scripts of this review: the platform's store, its promotion call, the
// servers of one database, hosts of auburnpost as separate processes, and callers. All follow PROTOCOL.md. Everything
// that callers and servers see is written to record.txt.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
using Lock = std::unique_lock<std::mutex>;

constexpr int ruleBroken = 1;
constexpr int ruleHeld = 0;
constexpr int couldNotRun = 2;

inline const Clock::time_point startedAt = Clock::now();

inline long nowMs()
{
    return std::chrono::duration_cast<Ms>(Clock::now() - startedAt).count();
}

inline void sleepMs(long time)
{
    std::this_thread::sleep_for(Ms(time));
}

inline bool hasTrouble()
{
    const auto* const text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/// Writes lines with their time to record.txt.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    void write(const std::string& line)
    {
        const Lock lock(m_mutex);
        m_file << nowMs() << " ms  " << line << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// A TCP connection with buffered reads of lines.
class Socket {
public:
    explicit Socket(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Socket() { end(); }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    void end()
    {
        const auto descriptor = m_descriptor.exchange(-1);
        if (descriptor >= 0)
            ::close(descriptor);
    }
    /// Ends the connection for both sides; the descriptor stays until the owner ends it.
    void shutDown() const { ::shutdown(m_descriptor, SHUT_RDWR); }

    bool send(const std::string& text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto count = ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// @return whether a line that ends with CR LF was read before the time was over.
    bool readLine(std::string& line, long timeoutMs = 0)
    {
        for (;;) {
            const auto end = m_buffer.find("\r\n");
            if (end != std::string::npos) {
                line = m_buffer.substr(0, end);
                m_buffer.erase(0, end + 2);
                return true;
            }
            if (!fill(timeoutMs))
                return false;
        }
    }

    bool readBytes(std::size_t count, std::string& bytes)
    {
        while (m_buffer.size() < count) {
            if (!fill(0))
                return false;
        }
        bytes = m_buffer.substr(0, count);
        m_buffer.erase(0, count);
        return true;
    }

private:
    bool fill(long timeoutMs)
    {
        const timeval timeout { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        char bytes[16384];
        const auto count = ::recv(m_descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    std::atomic<int> m_descriptor;
    std::string m_buffer;
};

inline sockaddr_in makeAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int freePort(const std::string& ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = makeAddress(ip, 0);
    socklen_t length = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0)
        std::exit(couldNotRun);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

inline std::unique_ptr<Socket> connectTo(const std::string& ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = makeAddress(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return {};
    }
    return std::make_unique<Socket>(descriptor);
}

/// Accepts connections on a free port of 127.0.0.1 and serves each on a thread of its own.
class Listener {
public:
    using Serve = std::function<void(Socket&)>;

    explicit Listener(Serve serve)
        : m_serve(std::move(serve))
        , m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        auto address = makeAddress("127.0.0.1", 0);
        socklen_t length = sizeof(address);
        constexpr int backlog = 256;
        if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), length) != 0
            || ::listen(m_descriptor, backlog) != 0)
            std::exit(couldNotRun);
        getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        std::thread([this] { run(); }).detach();
    }

    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void run()
    {
        for (;;) {
            const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                return;
            std::thread([this, accepted] {
                Socket socket(accepted);
                m_serve(socket);
            }).detach();
        }
    }

    Serve m_serve;
    int m_descriptor;
    int m_port { 0 };
};

inline std::string encodeBase64(const std::string& bytes)
{
    constexpr auto letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t next = at; next < at + 3; ++next)
            group = group << 8U | (next < bytes.size() ? static_cast<unsigned char>(bytes[next]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text += at + index > bytes.size() ? '=' : letters[group >> (18 - 6 * index) & 63U];
    }
    return text;
}

/// An HTTP/1.1 request that was received.
struct HttpCall {
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

inline std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

/// Serves HTTP requests on a connection until it ends.
inline void serveHttp(Socket& socket, const std::function<std::pair<int, std::string>(const HttpCall&)>& answer)
{
    std::string line;
    while (socket.readLine(line)) {
        HttpCall call;
        std::istringstream words(line);
        std::string method;
        std::string target;
        words >> method >> target;
        call.path = target.substr(0, target.find('?'));
        std::istringstream fields(target.size() > call.path.size() ? target.substr(call.path.size() + 1) : "");
        for (std::string field; std::getline(fields, field, '&');)
            call.query[field.substr(0, field.find('='))] = decodePercent(field.substr(field.find('=') + 1));
        while (socket.readLine(line) && !line.empty())
            call.headers[line.substr(0, line.find(':'))] = line.substr(std::min(line.size(), line.find(':') + 2));
        if (call.headers.contains("Content-Length")
            && !socket.readBytes(std::stoul(call.headers["Content-Length"]), call.body))
            return;
        const auto [status, body] = answer(call);
        if (status == 0
            || !socket.send("HTTP/1.1 " + std::to_string(status)
                + " -\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body))
            return;
    }
}

/// The platform's store of rows.
class Store {
public:
    Store()
        : m_listener([this](Socket& socket) { serveHttp(socket, [this](const HttpCall& call) { return perform(call); }); })
    {
    }

    [[nodiscard]] std::string address() const { return m_listener.address(); }

    void write(const std::string& table, const std::string& key, const std::string& value)
    {
        const Lock lock(m_mutex);
        m_rows[{ table, "", key }] = { encodeBase64(value), ++m_version, false };
        m_changed.notify_all();
    }

private:
    using Id = std::array<std::string, 3>;
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool isDeleted { false };
    };

    static Json encode(const Id& id, const Row& row)
    {
        Json json { { "Table", id[0] }, { "part", id[1] }, { "Key", id[2] }, { "RecordVersion", row.version } };
        if (row.isDeleted)
            json["Deleted"] = true;
        else
            json["Value"] = row.value;
        return json;
    }

    Json page(Json rows) const
    {
        return { { "rows", std::move(rows) }, { "HasMore", false }, { "RecordVersion", m_version },
            { "NowMs", nowMs() + 1000 } };
    }

    std::uint64_t versionOf(const Id& id) const
    {
        const auto found = m_rows.find(id);
        return found == m_rows.end() || found->second.isDeleted ? 0 : found->second.version;
    }

    std::pair<int, std::string> perform(const HttpCall& call)
    {
        sleepMs(4);
        Lock lock(m_mutex);
        if (call.path == "/auburnpost/rows-get")
            return { 200, read(call).dump() };
        if (call.path == "/auburnpost/rows-feed")
            return { 200, follow(lock, call).dump() };
        if (call.path == "/auburnpost/rows-tx")
            return transact(Json::parse(call.body));
        return { 404, "{}" };
    }

    Json read(const HttpCall& call) const
    {
        const auto text = [&call](const char* name) {
            const auto found = call.query.find(name);
            return found == call.query.end() ? std::string() : found->second;
        };
        const auto limit = text("Limit").empty() ? std::size_t { 500 } : std::stoul(text("Limit"));
        Json rows = Json::array();
        for (const auto& [id, row] : m_rows) {
            if (id[0] == text("Table") && id[1] == text("part") && id[2] >= text("From") && !row.isDeleted
                && rows.size() < limit)
                rows.push_back(encode(id, row));
        }
        return page(std::move(rows));
    }

    Json follow(Lock& lock, const HttpCall& call)
    {
        const auto after = std::stoull(call.query.at("after"));
        const auto until = Clock::now() + Ms(std::stol(call.query.at("WaitMs")));
        std::map<std::uint64_t, Json> rows;
        const auto collect = [&] {
            for (const auto& [id, row] : m_rows) {
                if (id[0] == call.query.at("Table") && row.version > after)
                    rows[row.version] = encode(id, row);
            }
            return !rows.empty();
        };
        m_changed.wait_until(lock, until, collect);
        Json list = Json::array();
        for (auto& [version, row] : rows)
            list.push_back(std::move(row));
        return page(std::move(list));
    }

    std::pair<int, std::string> transact(const Json& body)
    {
        const auto idOf = [](const Json& entry) {
            return Id { entry.at("Table").get<std::string>(), entry.value("part", ""), entry.at("Key").get<std::string>() };
        };
        for (const auto& entry : body.value("Precondition", Json::array())) {
            if (versionOf(idOf(entry)) != entry.at("RecordVersion").get<std::uint64_t>())
                return { 412, page(Json::array()).dump() };
        }
        ++m_version;
        for (const auto& entry : body.value("Upserts", Json::array()))
            m_rows[idOf(entry)] = { entry.at("Value").get<std::string>(), m_version, false };
        for (const auto& entry : body.value("Deletes", Json::array()))
            m_rows[idOf(entry)] = { "", m_version, true };
        m_changed.notify_all();
        return { 200, Json { { "RecordVersion", m_version }, { "NowMs", nowMs() + 1000 } }.dump() };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Id, Row> m_rows;
    std::uint64_t m_version { 100 };
    Listener m_listener;
};

/// Which caller's session sent each statement, and whether that session had a transaction open.
struct SentStatement {
    std::string session;
    bool isInTransaction { false };
    std::string text;
};

/// What callers sent, by the id of the statement.
class Ledger {
public:
    std::string add(const SentStatement& sent)
    {
        const Lock lock(m_mutex);
        const auto id = "q" + std::to_string(++m_last);
        m_sent[id] = sent;
        return id;
    }
    SentStatement find(const std::string& id)
    {
        const Lock lock(m_mutex);
        return m_sent[id];
    }

private:
    std::mutex m_mutex;
    std::uint64_t m_last { 0 };
    std::map<std::string, SentStatement> m_sent;
};

/// Rules that were seen broken.
class Verdict {
public:
    explicit Verdict(Record& record)
        : m_record(record)
    {
    }
    void broken(const std::string& what)
    {
        ++m_count;
        m_record.write("BROKEN " + what);
    }
    [[nodiscard]] int count() const { return m_count; }

private:
    Record& m_record;
    std::atomic<int> m_count { 0 };
};

struct ServerOptions {
    int slots { 3 };
    int queue { 24 };
    int connectionLimit { 48 };
    int workMs { 6 };
    int connectMs { 12 };
    int replicationMs { 8 };
    /// Time that a message takes on the network, in one direction.
    int oneWayMs { 20 };
};

/// One database server. All servers of the test share the log of the primary, which never changes: replicas follow it
/// without delay.
class Server {
public:
    Server(std::string id, bool isPrimary, ServerOptions options, Ledger& ledger, Verdict& verdict, Record& record)
        : m_id(std::move(id))
        , m_isPrimary(isPrimary)
        , m_options(options)
        , m_ledger(ledger)
        , m_verdict(verdict)
        , m_record(record)
        , m_listener([this](Socket& socket) { serve(socket); })
    {
    }

    static constexpr auto service = "store-1";

    [[nodiscard]] std::string entry(const std::string& zone) const
    {
        return Json { { "Service", service }, { "Address", m_listener.address() }, { "Zone", zone }, { "Version", "v1" },
            { "Slots", m_options.slots }, { "State", "ready" }, { "ColdRemainingMs", 0 },
            { "DatabaseRole", m_isPrimary ? "primary" : "replica" }, { "Sequence", 1 }, { "born", 1700000000000 } }
            .dump();
    }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] static bool isCommitted(const std::string& item)
    {
        const Lock lock(s_mutex);
        return s_committed.contains(item);
    }
    [[nodiscard]] int refusals() const { return m_refusals; }
    [[nodiscard]] int refusedCommits() const { return m_refusedCommits; }

private:
    /// State of one connection.
    struct Session {
        char state { 'I' };
        bool isReadOnly { false };
        /// The caller's session whose statement came first in the open transaction.
        std::string owner;
        std::vector<std::string> written;
        std::map<std::string, std::string> values;
        /// Access and shape of each prepared statement.
        std::map<std::string, std::pair<std::string, std::string>> prepared;
    };

    /// Waits for a slot. @return false if the queue is full.
    bool takeSlot()
    {
        Lock lock(m_mutex);
        if (m_busy >= m_options.slots && m_waiting >= m_options.queue)
            return false;
        ++m_waiting;
        m_freed.wait(lock, [this] { return m_busy < m_options.slots; });
        --m_waiting;
        ++m_busy;
        return true;
    }
    void giveSlot()
    {
        const Lock lock(m_mutex);
        --m_busy;
        m_freed.notify_one();
    }

    static std::string position()
    {
        const Lock lock(s_mutex);
        return "1." + std::to_string(s_position);
    }

    void serve(Socket& socket)
    {
        std::string line;
        if (!socket.readLine(line))
            return;
        std::istringstream words(line);
        std::string keyword;
        std::string name;
        std::string who;
        std::string expected;
        words >> keyword >> name >> who >> expected;
        if (keyword != "START" || name != service || (!expected.empty() && expected != m_id)) {
            socket.send("ERROR MISROUTED " + m_id + "\r\n");
            return;
        }
        if (++m_connections > m_options.connectionLimit) {
            socket.send("ERROR TOOMANY " + m_id + "\r\n");
        } else {
            sleepMs(2 * m_options.oneWayMs);
            if (takeSlot()) {
                sleepMs(m_options.connectMs);
                giveSlot();
            }
            Session session;
            if (socket.send("READY I " + position() + "\r\n")) {
                while (socket.readLine(line)) {
                    sleepMs(m_options.oneWayMs);
                    const auto answer = perform(session, line) + "READY " + session.state + " " + position() + "\r\n";
                    sleepMs(m_options.oneWayMs);
                    if (!socket.send(answer))
                        break;
                }
            }
            if (session.state == 'T' && !session.written.empty())
                m_record.write("server " + m_id + " rolls back " + std::to_string(session.written.size())
                    + " writes of " + session.owner + " at the end of the connection");
        }
        --m_connections;
    }

    std::string perform(Session& session, const std::string& line)
    {
        std::istringstream words(line);
        std::string keyword;
        std::string id;
        std::string verb;
        words >> keyword >> id >> verb;
        if (verb == "AFTER")
            words >> verb >> verb;
        if (session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT")
            return "ERROR MALFORMED the transaction failed\r\n";
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE") {
            if (!takeSlot())
                return refuse(verb);
            giveSlot();
            return "ROW " + std::string(m_isPrimary ? "primary" : "replica") + " 1 " + position() + " 0 0 "
                + std::to_string(m_busy.load()) + " " + std::to_string(m_connections.load()) + "\r\nDONE -\r\n";
        }
        if (verb == "BEGIN")
            return begin(session, words);
        if (verb == "ROLLBACK" || verb == "COMMIT")
            return end(session, id, verb);
        if (verb == "SET" || verb == "RESET" || verb == "PREPARE" || verb == "FORGET")
            return setUp(session, verb, words);
        return run(session, id, verb, words);
    }

    std::string begin(Session& session, std::istringstream& words)
    {
        if (session.state != 'I')
            return "ERROR MALFORMED a transaction is open\r\n";
        std::string mode;
        words >> mode;
        if (mode != "READ" && !m_isPrimary)
            return "ERROR READONLY " + m_id + "\r\n";
        session.state = 'T';
        session.isReadOnly = mode == "READ";
        session.owner.clear();
        session.written.clear();
        return "DONE -\r\n";
    }

    std::string end(Session& session, const std::string& id, const std::string& verb)
    {
        if (session.state == 'I')
            return "ERROR MALFORMED no transaction is open\r\n";
        const bool commits = verb == "COMMIT" && session.state == 'T';
        if (commits) {
            checkOwner(session, id, verb);
            if (!takeSlot()) {
                // It did not run, so the transaction is still open.
                ++m_refusedCommits;
                m_record.write("server " + m_id + " refuses the commit " + id + " of " + session.owner + ": BUSY");
                return refuse(verb);
            }
            sleepMs(m_options.workMs + (session.written.empty() ? 0 : m_options.replicationMs));
            giveSlot();
            apply(session.written);
        }
        const bool hasFailed = session.state == 'E';
        session.state = 'I';
        session.owner.clear();
        session.written.clear();
        if (verb == "COMMIT" && hasFailed)
            return "ERROR ABORTED rolled back\r\n";
        return commits ? done() : "DONE -\r\n";
    }

    static std::string setUp(Session& session, const std::string& verb, std::istringstream& words)
    {
        std::string name;
        std::string second;
        std::string rest;
        words >> name >> second;
        if (verb == "SET") {
            session.values[name] = second;
        } else if (verb == "PREPARE") {
            std::getline(words >> std::ws, rest);
            session.prepared[name] = { second, rest };
        } else if (verb == "FORGET") {
            session.prepared.erase(name);
        } else {
            session.values.clear();
            session.prepared.clear();
        }
        return "DONE -\r\n";
    }

    std::string run(Session& session, const std::string& id, const std::string& verb, std::istringstream& words)
    {
        std::string item;
        std::string shape;
        bool writes = verb == "WRITE";
        words >> item;
        if (verb == "EXECUTE") {
            const auto known = session.prepared.find(item);
            if (known == session.prepared.end())
                return "ERROR NOSUCHNAME " + item + "\r\n";
            writes = known->second.first == "WRITE";
            shape = known->second.second;
            words >> item;
        }
        if (writes && (!m_isPrimary || session.isReadOnly) && (session.state == 'T' || !m_isPrimary))
            return "ERROR READONLY " + m_id + "\r\n";
        if (!takeSlot())
            return refuse(verb);
        sleepMs(m_options.workMs + (writes && session.state == 'I' ? m_options.replicationMs : 0));
        giveSlot();
        if (session.state == 'T')
            checkOwner(session, id, verb + " " + item);
        else if (m_ledger.find(id).isInTransaction)
            m_verdict.broken("PINNED: statement " + id + " (" + verb + " " + item + ") of " + m_ledger.find(id).session
                + " runs outside its transaction at " + m_id);
        if (onRun)
            onRun(id, shape, item);
        if (writes && session.state == 'T')
            session.written.push_back(item);
        else if (writes)
            apply({ item });
        return (writes ? std::string() : "ROW r" + item + (shape.empty() ? "" : " by " + shape) + "\r\n") + done();
    }

    void checkOwner(Session& session, const std::string& id, const std::string& what)
    {
        const auto sent = m_ledger.find(id);
        if (session.owner.empty())
            session.owner = sent.session;
        if (session.owner != sent.session)
            m_verdict.broken("PINNED: statement " + id + " (" + what + ") of " + sent.session + " runs at " + m_id
                + " inside the open transaction of " + session.owner);
    }

    void apply(const std::vector<std::string>& items)
    {
        const Lock lock(s_mutex);
        if (!items.empty())
            ++s_position;
        s_committed.insert(items.begin(), items.end());
    }

    std::string refuse(const std::string&)
    {
        ++m_refusals;
        return "ERROR BUSY " + m_id + "\r\n";
    }
    std::string done() { return "DONE " + m_id + "." + std::to_string(++m_signed) + "\r\n"; }

public:
    /// Called for each read and write that runs, with its id, the shape if it is an EXECUTE, and the item.
    std::function<void(const std::string& id, const std::string& shape, const std::string& item)> onRun;

private:
    inline static std::mutex s_mutex;
    inline static std::uint64_t s_position { 1 };
    inline static std::set<std::string> s_committed;

    std::string m_id;
    bool m_isPrimary;
    ServerOptions m_options;
    Ledger& m_ledger;
    Verdict& m_verdict;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    std::atomic<int> m_busy { 0 };
    int m_waiting { 0 };
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_refusals { 0 };
    std::atomic<int> m_refusedCommits { 0 };
    std::atomic<std::uint64_t> m_signed { 0 };
    Listener m_listener;
};

/// A host: a process of the program with the command of the deploy file.
class Host {
public:
    Host(std::string name, std::string ip, const std::string& store, const std::string& cloud, const std::string& folder)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_front(freePort(m_ip))
        , m_ready(freePort(m_ip))
    {
        const auto at = [this](int port) { return m_ip + ":" + std::to_string(port); };
        const Json settings { { "Node", m_name }, { "Role", "entry" }, { "MachineClass", "front" },
            { "Serves", { "front", "control" } }, { "Ip", m_ip }, { "Zone", "zone-a" }, { "Region", "region-a" },
            { "Zones", { { "zone-a", "region-a" } } },
            { "Listen", { { "Front", at(m_front) }, { "Ready", at(m_ready) }, { "Control", at(freePort(m_ip)) } } },
            { "InternalPorts", { freePort(m_ip), freePort(m_ip) } }, { "Seeds", Json::array() }, { "FirstStart", true },
            { "Limits",
                { { "CpuShare", 0.17 }, { "Cores", 1 }, { "MemoryMb", 182 }, { "FileDescriptors", 3010 },
                    { "LinkMbps", 700.0 }, { "DiskMb", 0 } } },
            { "HeartbeatMs", 1200 },
            { "Bounds",
                { { "SeedLagS", 3 }, { "ReuseAfterS", 2 }, { "StabilityWindowMs", 5000 }, { "AcknowledgeMs", 6000 },
                    { "CatchUpS", 4 }, { "DrainMs", 7000 }, { "GraceS", 6 }, { "LossSlackMs", 200 },
                    { "ConfigPropagationMs", 4000 }, { "RollbackSlackMs", 250 }, { "OuterBoundMs", 15000 },
                    { "RecoveryS", 12 }, { "FencingRequired", false }, { "ThawSlackMs", 300 } } },
            { "platform", { { "Address", store }, { "form", "table" }, { "RowBytes", 65536 } } },
            { "Cloud", { { "Address", cloud }, { "Duties", { "promotion" } }, { "DutyPerS", 50.0 } } } };
        const auto path = folder + "/" + m_name + ".json";
        std::ofstream(path) << settings.dump(2);
        const auto log = ::open((folder + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        const auto variable = "AUBURNPOST_SETTINGS=" + path;
        const char* const environment[] { variable.c_str(), "PATH=/usr/bin:/bin", nullptr };
        constexpr auto program = "target/src/app/auburnpost";
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(log, 1);
            dup2(log, 2);
            execle(program, program, "proxy", "--metrics-port=9464", nullptr, environment);
            _exit(127);
        }
        ::close(log);
    }
    ~Host()
    {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
    }
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    [[nodiscard]] bool isReady() const
    {
        const auto probe = connectTo(m_ip, m_ready);
        std::string line;
        return probe && probe->send("GET /auburnpost/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            && probe->readLine(line, 1000) && line.find(" 200") != std::string::npos;
    }
    [[nodiscard]] const std::string& ip() const { return m_ip; }
    [[nodiscard]] int port() const { return m_front; }
    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    std::string m_name;
    std::string m_ip;
    int m_front;
    int m_ready;
    pid_t m_pid { 0 };
};

/// The answer to a statement.
struct Answer {
    bool isComplete { false };
    std::string error;
    std::string signature;
    std::vector<std::string> rows;
    char state { '?' };
};

/// A caller's session.
class Caller {
public:
    Caller(const Host& host, const std::string& database, std::string name, Ledger& ledger)
        : m_name(std::move(name))
        , m_ledger(ledger)
        , m_socket(connectTo(host.ip(), host.port()))
    {
        std::string line;
        m_isOpen = m_socket && m_socket->send("START " + database + " " + m_name + "\r\n")
            && m_socket->readLine(line, 2000) && line.starts_with("READY");
    }

    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    [[nodiscard]] const std::string& name() const { return m_name; }

    /// Sends a statement. @return its id.
    std::string send(const std::string& text, bool isInTransaction)
    {
        const auto id = m_ledger.add({ m_name, isInTransaction, text });
        m_isOpen = m_isOpen && m_socket->send("QUERY " + id + " " + text + "\r\n");
        return id;
    }
    Answer receive(long timeoutMs = 6000)
    {
        Answer answer;
        std::string line;
        while (m_isOpen && m_socket->readLine(line, timeoutMs)) {
            const auto keyword = line.substr(0, line.find(' '));
            const auto rest = line.substr(std::min(line.size(), keyword.size() + 1));
            if (keyword == "ROW")
                answer.rows.push_back(rest);
            else if (keyword == "DONE")
                answer.signature = rest;
            else if (keyword == "ERROR")
                answer.error = rest;
            if (keyword == "READY") {
                answer.state = rest.empty() ? '?' : rest[0];
                answer.isComplete = true;
                return answer;
            }
        }
        m_isOpen = false;
        return answer;
    }
    Answer query(const std::string& text, bool isInTransaction = false)
    {
        send(text, isInTransaction);
        return receive();
    }
    void leave()
    {
        if (m_socket)
            m_socket->end();
        m_isOpen = false;
    }

private:
    std::string m_name;
    Ledger& m_ledger;
    std::unique_ptr<Socket> m_socket;
    bool m_isOpen { false };
};

/// A free loopback network for the hosts of one run.
inline std::string drawNetwork()
{
    std::random_device random;
    return "127." + std::to_string(16 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
}

} // namespace Review
