#include "process/GroupCallers.h"

#include "process/LineCaller.h"

#include <memory>
#include <utility>

namespace Auburnpost::Test {

namespace {

    constexpr auto pause = std::chrono::milliseconds(12);
    constexpr std::size_t routeCount = 3;
    /// The others have no reads on a primary route, for which a host asks the members all the time.
    constexpr std::size_t hostsWithPrimaryRoute = 3;

} // namespace

struct GroupCallers::Session {
    Session(std::size_t sessionNumber, RouteKind kind, std::uint16_t port)
        : number(sessionNumber)
        , route(kind)
        , caller(port, GroupSite::databases[static_cast<std::size_t>(kind)])
    {
    }

    std::size_t number;
    RouteKind route;
    LineCaller caller;
    bool isInTransaction { false };
    bool isPlain { false };
    Moment transactionSince {};
};

GroupCallers::GroupCallers(GroupSite& site, std::uint64_t seed)
    : m_site(site)
{
    constexpr std::size_t callersPerHost = 3;
    for (std::size_t host = 0; host < site.size(); ++host) {
        for (std::size_t index = 0; index < callersPerHost; ++index) {
            auto& caller = m_callers.emplace_back();
            caller.host = host;
            caller.number = m_callers.size();
            caller.keepsConnections = index > 0;
            caller.writesOfHundred = host < writingHosts ? 50 : 1;
            caller.firstRoute = host < hostsWithPrimaryRoute ? 0 : 1;
            caller.random.seed(static_cast<unsigned>(seed * 1000 + caller.number));
            caller.thread = std::thread([this, &caller] { run(caller); });
        }
    }
}

GroupCallers::~GroupCallers()
{
    (void)stop();
}

std::vector<CallerStatement> GroupCallers::stop()
{
    m_isStopping = true;
    std::vector<CallerStatement> statements;
    for (auto& caller : m_callers) {
        if (caller.thread.joinable())
            caller.thread.join();
        statements.insert(statements.end(), caller.statements.begin(), caller.statements.end());
    }
    return statements;
}

std::unique_ptr<GroupCallers::Session> GroupCallers::open(const Caller& caller, RouteKind route)
{
    auto session = std::make_unique<Session>(++m_sessions, route, m_site.host(caller.host).port());
    return session->caller.isOpen() ? std::move(session) : nullptr;
}

void GroupCallers::run(Caller& caller)
{
    std::vector<std::unique_ptr<Session>> sessions(routeCount);
    while (!m_isStopping) {
        const auto route = caller.firstRoute + caller.random() % (routeCount - caller.firstRoute);
        auto& session = sessions[route];
        if (!session)
            session = open(caller, static_cast<RouteKind>(route));
        if (session)
            runOperation(caller, *session);
        if (session && (!caller.keepsConnections || !session->caller.isOpen()))
            session.reset();
        std::this_thread::sleep_for(pause);
    }
}

void GroupCallers::runOperation(Caller& caller, Session& session)
{
    constexpr unsigned transactionsOfTen = 4;
    if (caller.random() % 10 < transactionsOfTen)
        runTransaction(caller, session);
    else
        (void)runStatement(caller, session, pickStatement(caller));
}

std::string GroupCallers::pickStatement(Caller& caller)
{
    return caller.random() % 100 < caller.writesOfHundred ? "WRITE item data" : "READ item";
}

void GroupCallers::runTransaction(Caller& caller, Session& session)
{
    constexpr unsigned mostStatements = 4;
    session.isPlain = caller.random() % 3 != 0;
    session.transactionSince = std::chrono::steady_clock::now();
    session.isInTransaction = true;
    bool succeeds = runStatement(caller, session, session.isPlain ? "BEGIN" : "BEGIN READ");
    const bool hasBegun = succeeds;
    const auto statements = 1 + caller.random() % mostStatements;
    for (unsigned index = 0; succeeds && index < statements; ++index) {
        const bool isLong = caller.random() % 12 == 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(caller.random() % (isLong ? 600 : 30)));
        succeeds = runStatement(caller, session, session.isPlain ? pickStatement(caller) : "READ item");
    }
    const bool isRolledBack = !succeeds || caller.random() % 5 == 0;
    if (hasBegun && session.caller.isOpen() && !(isRolledBack ? false : runStatement(caller, session, "COMMIT"))
        && session.caller.isOpen())
        (void)runStatement(caller, session, "ROLLBACK");
    session.isInTransaction = false;
}

bool GroupCallers::runStatement(Caller& caller, Session& session, const std::string& text)
{
    CallerStatement statement;
    statement.id = std::to_string(caller.number) + "x" + std::to_string(++caller.sent);
    statement.text = text;
    statement.host = caller.host;
    statement.session = session.number;
    statement.route = session.route;
    const bool isWrite = text.starts_with("WRITE");
    statement.needsPrimary = session.isInTransaction ? session.isPlain : isWrite;
    statement.commits = text == "COMMIT" || (isWrite && !session.isInTransaction);
    statement.firstByteAt = session.isInTransaction ? session.transactionSince : std::chrono::steady_clock::now();
    if (session.caller.send(statement.id, text))
        statement.succeeded = session.caller.receive().error.empty();
    statement.endedAt = std::chrono::steady_clock::now();
    caller.statements.push_back(statement);
    return statement.succeeded;
}

} // namespace Auburnpost::Test
