// Case: a requester's message holds a bare line feed. Exit status: 1 when a server ran a statement that no requester
// sent, 0 when none did, 2 when the case could not run.
#include "Standin.h"

using namespace Review;

int main(int, char** arguments)
{
    const std::string program = arguments[1];
    const std::string folder = arguments[2];
    const bool isTrouble = std::string(arguments[3]) != "0";
    Record record(arguments[4]);
    Store store("127.0.0.1", record);
    Service service("huvo11a", "127.0.0.1", 3, store, record);
    store.put("op", "config", manifest(service).dump());
    Host host(program, folder, "front-1", "127.0.0.1", store.port(), "127.0.0.1");
    host.start();
    if (!host.waitUntilReady(15)) {
        record.line("the host did not become ready");
        host.kill();
        _exit(2);
    }
    // What requesters sent: the id and the text of each message, up to its CR LF.
    std::set<std::string> sent;
    const auto query = [&sent](Requester& requester, const std::string& id, const std::string& text) {
        sent.insert(id + " " + text);
        requester.send("QUERY " + id + " " + text + "\r\n");
        return requester.receive(3000);
    };
    bool hasServed = false;
    {
        Requester requester(host, record, "requester A");
        if (requester.start("orders")) {
            hasServed = query(requester, "a000000000000001", "WRITE 1a4 plain").isDone;
            const std::string separator = isTrouble ? "\n" : " ";
            query(requester, "a000000000000002", "WRITE 1a5 qhzk" + separator + "QUERY b000000000000009 WRITE 1a6 forged");
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    {
        Requester requester(host, record, "requester B");
        if (requester.start("orders"))
            hasServed = query(requester, "c000000000000001", "READ 1a6").isDone && hasServed;
    }
    host.kill();
    bool isBroken = false;
    for (const auto& run : service.runs()) {
        if (sent.count(run.id + " " + run.text))
            continue;
        isBroken = true;
        record.line("UNASKED: server " + run.server + " ran a statement that no requester sent: " + run.id + " " + run.text);
    }
    record.line(isBroken ? "broken" : hasServed ? "held" : "could not run");
    _exit(isBroken ? 1 : hasServed ? 0 : 2);
}
