#include "process/ConfigCallers.h"

#include "process/LineCaller.h"

#include <memory>
#include <utility>

namespace Auburnpost::Test {

namespace {

    /// Pause of a thread between two requests.
    constexpr auto pause = std::chrono::milliseconds(15);
    constexpr auto unknownDatabase = "NODATABASE";

} // namespace

struct ConfigCallers::Session {
    std::string database;
    unsigned boot { 0 };
    std::unique_ptr<LineCaller> caller;
};

ConfigCallers::ConfigCallers(ConfigSite& site, std::vector<std::string> databases, std::uint64_t seed)
    : m_site(site)
    , m_databases(std::move(databases))
{
    for (std::size_t host = 0; host < site.size(); ++host) {
        add(host, seed, &ConfigCallers::useNewConnections);
        add(host, seed, &ConfigCallers::useOpenConnections);
    }
}

ConfigCallers::~ConfigCallers()
{
    (void)stop();
}

void ConfigCallers::add(std::size_t host, std::uint64_t seed, void (ConfigCallers::*run)(Caller&))
{
    auto& caller = m_callers.emplace_back();
    caller.host = host;
    caller.random.seed(static_cast<unsigned>(seed * 1000 + m_callers.size()));
    caller.thread = std::thread([this, &caller, run] { (this->*run)(caller); });
}

std::vector<ConfigRequest> ConfigCallers::stop()
{
    m_isStopping = true;
    std::vector<ConfigRequest> requests;
    for (auto& caller : m_callers) {
        if (caller.thread.joinable())
            caller.thread.join();
        requests.insert(requests.end(), caller.requests.begin(), caller.requests.end());
    }
    return requests;
}

std::size_t ConfigCallers::otherOutcomes() const
{
    std::size_t count = 0;
    for (const auto& caller : m_callers)
        count += caller.otherOutcomes;
    return count;
}

ConfigRequest ConfigCallers::makeRequest(Caller& caller, const Session& session, bool isOnOpenConnection) const
{
    ConfigRequest request;
    request.id = std::string(isOnOpenConnection ? "open-" : "new-") + std::to_string(caller.host + 1) + "-"
        + std::to_string(++caller.sent);
    request.host = caller.host;
    request.boot = session.boot;
    request.isOnOpenConnection = isOnOpenConnection;
    request.database = session.database;
    request.sentAt = std::chrono::steady_clock::now();
    return request;
}

void ConfigCallers::record(Caller& caller, ConfigRequest request, const std::string& error)
{
    request.endedAt = std::chrono::steady_clock::now();
    if (error.empty() || error == unknownDatabase)
        caller.requests.push_back(std::move(request));
    else
        ++caller.otherOutcomes;
}

void ConfigCallers::open(Caller& caller, Session& session, bool isOnOpenConnection)
{
    session.boot = m_site.boot(caller.host);
    auto request = makeRequest(caller, session, isOnOpenConnection);
    session.caller = std::make_unique<LineCaller>(m_site.host(caller.host).port(), session.database);
    // A connection that was opened while the host was started again belongs to either of its processes.
    if (session.boot != m_site.boot(caller.host))
        session.caller.reset();
    else if (!session.caller->isOpen())
        record(caller, std::move(request), std::exchange(session.caller, nullptr)->error());
}

void ConfigCallers::read(Caller& caller, Session& session, bool isOnOpenConnection)
{
    auto request = makeRequest(caller, session, isOnOpenConnection);
    const auto answer = session.caller->read(request.id);
    request.group = answer.row;
    record(caller, std::move(request), answer.error);
    if (!session.caller->isOpen())
        session.caller.reset();
}

void ConfigCallers::useNewConnections(Caller& caller)
{
    for (std::size_t next = caller.random(); !m_isStopping; ++next) {
        Session session;
        session.database = m_databases[next % m_databases.size()];
        open(caller, session, false);
        if (session.caller)
            read(caller, session, false);
        std::this_thread::sleep_for(pause);
    }
}

void ConfigCallers::useOpenConnections(Caller& caller)
{
    std::vector<Session> sessions(m_databases.size());
    for (std::size_t next = caller.random(); !m_isStopping; ++next) {
        const auto index = next % sessions.size();
        auto& session = sessions[index];
        session.database = m_databases[index];
        if (!session.caller)
            open(caller, session, true);
        if (session.caller)
            read(caller, session, true);
        std::this_thread::sleep_for(pause);
    }
}

} // namespace Auburnpost::Test
