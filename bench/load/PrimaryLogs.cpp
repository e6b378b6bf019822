#include "load/PrimaryLogs.h"

#include "common/EventLoop.h"
#include "load/GroupView.h"

#include <event2/event.h>

#include <set>

namespace Auburnpost::Load {

namespace {

    constexpr Duration controlTimeout = std::chrono::seconds(5);
    constexpr int statusOk = 200;

} // namespace

HttpAnswer fetch(const SocketAddress& address, const std::string& path, const std::string& body)
{
    Standin::EventLoop loop;
    HttpClient client(loop.base(), controlTimeout);
    HttpAnswer result;
    client.send({ address, path, {}, body }, [&](const HttpAnswer& answer) {
        result = answer;
        event_base_loopbreak(loop.base());
    });
    loop.run();
    return result;
}

Expected<TargetEndpoint> fetchPrimary(const Endpoints& endpoints, const DatabaseName& database)
{
    std::vector<TargetState> states;
    for (const auto& target : endpoints.targets) {
        if (target.database != database)
            continue;
        const auto answer = fetch(target.control, "/state");
        if (const auto state = TargetState::parse(answer.body); answer.status == statusOk && state)
            states.push_back(*state);
    }
    const auto primary = findPrimary(states);
    for (const auto& target : endpoints.targets) {
        if (primary == target.name)
            return target;
    }
    return fail(ErrorCode::NoPrimary, "find primary", database.value(), "no target has the primary role");
}

Expected<FinalLogs> fetchPrimaryLogs(const Endpoints& endpoints)
{
    std::set<DatabaseName> databases;
    for (const auto& target : endpoints.targets)
        databases.insert(target.database);
    FinalLogs logs;
    for (const auto& database : databases) {
        const auto primary = fetchPrimary(endpoints, database);
        if (!primary)
            return tl::unexpected(primary.error());
        auto facts = readLogFacts(fetch(primary->control, "/log").body);
        if (!facts)
            return tl::unexpected(facts.error());
        logs.emplace(database, std::move(*facts));
    }
    return logs;
}

} // namespace Auburnpost::Load
