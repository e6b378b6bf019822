// Case: an entry of another writer names the address of a working replica. Exit status: 1 when the promoted server lacks
// an acknowledged commit, 0 when it has all, 2 when the case could not run.
#include "Standin.h"

using namespace Review;

namespace {

/// A server's log: the data of its commits, in order. Position n is held in entry n - 1.
struct Entry {
    int term;
    std::string item;
    std::string data;
};

/// One service of three servers with synchronous replication to one replica.
class Group {
public:
    struct Server {
        std::string id;
        int port { 0 };
        int listener { -1 };
        std::chrono::milliseconds delay;
        bool isPrimary { false };
        bool isGone { false };
        /// Receives nothing: the disruption replica_lag, variant deaf.
        bool isDeaf { false };
        int term { 1 };
        int fencedTerm { 0 };
        std::vector<Entry> log;
        std::set<int> connections;
    };

    Group(Store& store, Record& record)
        : m_store(store)
        , m_record(record)
    {
        const int delays[] { 0, 20, 1 };
        for (int index = 0; index < 3; ++index) {
            auto server = std::make_unique<Server>();
            server->id = "i-" + std::to_string(index + 1) + "c0de";
            server->delay = std::chrono::milliseconds(delays[index]);
            server->isPrimary = index == 0;
            server->log.push_back({ 1, "start", "start" });
            server->listener = listenOn("127.0.0.1", server->port);
            auto* const own = server.get();
            m_servers.push_back(std::move(server));
            acceptLoop(own->listener, [this, own](int descriptor) { serve(*own, descriptor); });
        }
        std::thread([this] {
            for (std::uint64_t sequence = 1;; ++sequence) {
                for (const auto& server : m_servers) {
                    if (!server->isGone)
                        m_store.put("servers", server->id, entry(*server, sequence).dump());
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(1200));
            }
        }).detach();
        store.onPromotion = [this](const std::string&, const std::string& id) { return promote(id); };
    }

    Json entry(const Server& server, std::uint64_t sequence, const std::string& service = "huvo11a") const
    {
        return { { "Service", service }, { "Address", "127.0.0.1:" + std::to_string(server.port) }, { "Zone", "zone-a" },
            { "Version", "v1" }, { "Slots", 3 }, { "State", "ready" }, { "ColdRemainingMs", 0 },
            { "DatabaseRole", server.isPrimary ? "primary" : "replica" }, { "Sequence", sequence },
            { "born", service == "huvo11a" ? 1790000000000ULL : 1790000009000ULL } };
    }
    Server& server(std::size_t index) { return *m_servers[index]; }
    void setDeaf(Server& server, bool isDeaf)
    {
        const std::lock_guard lock(m_mutex);
        server.isDeaf = isDeaf;
        if (!isDeaf)
            catchUp(server);
    }
    /// The server is lost for good; its entry is removed after three intervals of silence.
    void lose(Server& server)
    {
        {
            const std::lock_guard lock(m_mutex);
            server.isGone = true;
            shutdown(server.listener, SHUT_RDWR);
            close(server.listener);
            for (const int descriptor : server.connections)
                shutdown(descriptor, SHUT_RDWR);
        }
        std::thread([this, &server] {
            std::this_thread::sleep_for(std::chrono::milliseconds(3600));
            m_record.line("store: entry of " + server.id + " removed after three intervals of silence");
            m_store.remove("servers", server.id);
        }).detach();
    }
    /// @return 1 when a promoted server lacks an acknowledged commit, 0 when all have them, empty before a promotion.
    std::optional<int> outcome()
    {
        const std::lock_guard lock(m_mutex);
        return m_outcome;
    }

private:
    static std::string position(const Server& server)
    {
        return std::to_string(server.log.back().term) + "." + std::to_string(server.log.size());
    }
    Server* primary()
    {
        Server* found = nullptr;
        for (const auto& server : m_servers) {
            if (server->isPrimary && !server->isGone && (!found || server->term > found->term))
                found = server.get();
        }
        return found;
    }
    /// A replica that receives joins the primary of the newest term and takes its log.
    void catchUp(Server& server)
    {
        auto* const leader = primary();
        if (!leader || leader == &server || server.isPrimary || server.isGone || server.isDeaf || server.fencedTerm)
            return;
        server.term = leader->term;
        server.log = leader->log;
        m_received.notify_all();
    }

    int promote(const std::string& id)
    {
        for (const auto& server : m_servers) {
            if (server->id != id || server->isGone)
                continue;
            auto* const own = server.get();
            std::thread([this, own] {
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
                const std::lock_guard lock(m_mutex);
                int term = 0;
                for (const auto& other : m_servers)
                    term = std::max(term, other->term);
                own->term = term + 1;
                own->isPrimary = true;
                own->fencedTerm = 0;
                m_record.line("promoted: " + own->id + " with the log up to " + position(*own));
                for (const auto& commit : m_acknowledged) {
                    const bool isKept = std::any_of(own->log.begin(), own->log.end(),
                        [&commit](const Entry& entry) { return entry.item == commit.first && entry.data == commit.second; });
                    if (!isKept)
                        m_record.line("LOST: the promoted log lacks the acknowledged commit of " + commit.first);
                    if (!isKept || !m_outcome)
                        m_outcome = isKept ? 0 : 1;
                }
                for (const auto& other : m_servers)
                    catchUp(*other);
            }).detach();
            return 200;
        }
        return 409;
    }

    void serve(Server& server, int descriptor)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (server.isGone)
                return;
            server.connections.insert(descriptor);
        }
        converse(server, descriptor);
        const std::lock_guard lock(m_mutex);
        server.connections.erase(descriptor);
    }

    void converse(Server& server, int descriptor)
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
        if (word != "START" || service != "huvo11a" || (!id.empty() && id != server.id)) {
            sendAll(descriptor, "ERROR MISROUTED " + server.id + "\r\n");
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            sendAll(descriptor, "READY I " + position(server) + "\r\n");
        }
        while (const auto line = reader.line()) {
            if (line->rfind("QUERY ", 0) != 0)
                return;
            const auto blank = line->find(' ', 6);
            const auto text = answer(server, line->substr(6, blank - 6), line->substr(blank + 1));
            if (!sendAll(descriptor, text))
                return;
        }
    }

    std::string answer(Server& server, const std::string& id, std::string text)
    {
        std::unique_lock lock(m_mutex);
        const auto ready = [&] { return "READY I " + position(server) + "\r\n"; };
        if (text.rfind("AFTER ", 0) == 0)
            text.erase(0, text.find(' ', 6) + 1);
        std::istringstream words(text);
        std::string verb;
        std::string item;
        words >> verb >> item;
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE") {
            if (verb != "STATUS")
                m_record.line("server " + server.id + " gets: " + text);
            if (verb == "PAUSE" && !server.isPrimary && std::stoi(item) > server.term)
                server.fencedTerm = std::stoi(item);
            if (verb == "RESUME")
                server.fencedTerm = 0;
            if (verb == "DEMOTE" && std::stoi(item) > server.term)
                server.isPrimary = false;
            catchUp(server);
            return std::string("ROW ") + (server.isPrimary ? "primary " : "replica ") + std::to_string(server.term) + " "
                + position(server) + " " + std::to_string(server.fencedTerm) + " 0 0 5\r\nDONE -\r\n" + ready();
        }
        if (verb == "READ") {
            std::string row = "empty";
            for (const auto& entry : server.log) {
                if (entry.item == item)
                    row = entry.data;
            }
            return "ROW " + row + "\r\nDONE 1.ab." + id + "\r\n" + ready();
        }
        if (verb != "WRITE")
            return "DONE -\r\n" + ready();
        if (!server.isPrimary)
            return "ERROR READONLY " + server.id + "\r\n" + ready();
        std::string data;
        words >> data;
        server.log.push_back({ server.term, item, data });
        const auto size = server.log.size();
        for (const auto& other : m_servers) {
            if (other.get() != &server)
                std::thread([this, replica = other.get()] {
                    std::this_thread::sleep_for(replica->delay);
                    const std::lock_guard guard(m_mutex);
                    catchUp(*replica);
                }).detach();
        }
        m_received.wait(lock, [&] {
            return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& other) {
                return other.get() != &server && !other->isGone && other->term == server.term && !other->isPrimary
                    && other->log.size() >= size;
            });
        });
        m_acknowledged.push_back({ item, data });
        m_record.line("server " + server.id + " acknowledges " + position(server) + ": " + text);
        return "DONE 1.ab." + id + "\r\n" + ready();
    }

    Store& m_store;
    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_received;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::vector<std::pair<std::string, std::string>> m_acknowledged;
    std::optional<int> m_outcome;
};

} // namespace

int main(int, char** arguments)
{
    const std::string program = arguments[1];
    const std::string folder = arguments[2];
    const bool isTrouble = std::string(arguments[3]) != "0";
    Record record(arguments[4]);
    Store store("127.0.0.1", record);
    Group group(store, record);
    const Json service { { "Name", "huvo11a" }, { "ConnectionLimit", 48 }, { "SyncReplicas", 1 } };
    const Json route { { "Name", "r-1" }, { "Host", "orders" }, { "PathPrefix", "/" }, { "Kind", "primary" },
        { "TimeoutMs", 800 }, { "LatencyTargetMs", 600 }, { "Priority", 1 }, { "Service", "huvo11a" }, { "Attempts", 2 } };
    store.put("op", "config",
        Json { { "Version", 7 }, { "Routes", Json::array({ route }) }, { "Services", Json::array({ service }) },
            { "Limits", { { "TxIdleMs", 3000 } } } }
            .dump());
    Host first(program, folder, "front-1", "127.0.0.1", store.port(), "127.0.0.1");
    Host second(program, folder, "front-2", "127.0.0.1", store.port(), "127.0.0.1");
    first.start();
    second.start();
    const auto end = [&](const std::string& text, int status) {
        record.line(text);
        first.kill();
        second.kill();
        _exit(status);
    };
    if (!first.waitUntilReady(15) || !second.waitUntilReady(15))
        end("the hosts did not become ready", 2);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto write = [&](const std::string& id, const std::string& text) {
        Requester requester(first, record, "requester A");
        if (!requester.start("orders"))
            return false;
        requester.send("QUERY " + id + " " + text + "\r\n");
        return requester.receive(3000).isDone;
    };
    if (!write("a000000000000001", "WRITE 1a4 before"))
        end("the first write was not acknowledged", 2);
    if (isTrouble) {
        const auto foreign = group.entry(group.server(2), 1, "another");
        record.line("store: another writer puts servers/x-1: " + foreign.dump());
        store.put("servers", "x-1", foreign.dump());
    }
    std::this_thread::sleep_for(std::chrono::seconds(12));
    record.line("replica " + group.server(1).id + " receives nothing for 5 s");
    group.setDeaf(group.server(1), true);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    if (!write("a000000000000002", "WRITE 1a5 accepted"))
        end("the second write was not acknowledged", 2);
    record.line("primary " + group.server(0).id + " is lost for good");
    group.lose(group.server(0));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    record.line("replica " + group.server(1).id + " could receive again");
    group.setDeaf(group.server(1), false);
    for (int second = 0; second < 45 && !group.outcome(); ++second)
        std::this_thread::sleep_for(std::chrono::seconds(1));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto outcome = group.outcome();
    if (!outcome)
        end("held: nothing was promoted", 0);
    {
        Requester requester(first, record, "requester B");
        if (requester.start("orders")) {
            requester.send("QUERY c000000000000001 READ 1a5\r\n");
            requester.receive(3000);
        }
    }
    end(*outcome ? "broken" : "held", *outcome);
}
