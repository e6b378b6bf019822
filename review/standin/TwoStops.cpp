// Case: a second SIGTERM while requests of callers are in progress. Exit status: 1 when a request that a server was
// working on was left without a complete answer, 0 when every one was answered, 2 when the case could not run.
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
    std::this_thread::sleep_for(std::chrono::seconds(6));
    Requester requester(host, record, "requester A");
    if (!requester.start("orders"))
        _exit(2);
    requester.send("QUERY a000000000000001 WRITE 1a4 plain\r\n");
    if (!requester.receive(3000).isDone)
        _exit(2);
    record.line("SIGTERM to the host");
    host.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000));
    service.workMs = 300;
    requester.send("QUERY a000000000000002 WRITE 1a5 second\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    if (isTrouble) {
        record.line("SIGTERM to the host, again");
        host.signal(SIGTERM);
    }
    const auto answer = requester.receive(4000);
    host.kill();
    bool hasRun = false;
    for (const auto& run : service.runs())
        hasRun = hasRun || run.id == "a000000000000002";
    const bool isBroken = hasRun && !answer.isComplete;
    record.line(isBroken ? "LOST: the server ran the statement, its requester got no complete answer" : hasRun ? "held" : "could not run");
    _exit(isBroken ? 1 : hasRun ? 0 : 2);
}
