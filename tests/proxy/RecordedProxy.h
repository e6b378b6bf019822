#pragma once

#include "proxy/Proxy.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

/// Records what a proxy does. Nothing answers its calls.
struct ProxyRecorder final : ProxyDelegate {
    /// A call to the store for a followed table.
    struct TableCall {
        StoreTable table;
        Duration timeout;
        bool isRead { false };
        Duration wait {};
        StoreCallSlot slot { StoreCallSlot::First };
    };

    std::vector<TableCall> tableCalls;
    std::vector<SocketAddress> queriedPeers;
    std::vector<std::pair<SocketAddress, ConfigVersion>> versionQuestions;
    std::set<SessionId> accepted;
    std::map<SessionId, Session::FailureCode> refused;
    std::map<SessionId, Session::Answer> answers;
    std::map<ConnectionId, TargetRecord> opened;
    std::vector<std::pair<ConnectionId, TargetRequest>> sent;
    std::vector<ConnectionId> closedConnections;
    std::vector<PromotionLease> leaseWrites;
    std::vector<std::optional<FeedPage>> feedAnswers;
    std::size_t leaseReads { 0 };
    /// The groups of the reads since RecordedProxy::answerDoubts() was last called.
    std::vector<GroupName> newLeaseReads;
    std::size_t hostWrites { 0 };
    std::size_t hostReads { 0 };
    Duration hostReadTimeout {};
    std::vector<LogRecord> records;
    /// The names of the metrics series that have a sample.
    std::multiset<std::string> measured;
    std::vector<std::pair<StoreTable, StoreCallSlot>> cancelled;

    void readTable(StoreTable table, const std::string&, Duration timeout, StoreCallSlot slot) override
    {
        if (table == StoreTable::Hosts) {
            ++hostReads;
            hostReadTimeout = timeout;
        } else
            tableCalls.push_back({ table, timeout, true, {}, slot });
    }
    void followTable(StoreTable table, RowVersion, Duration wait, Duration timeout, StoreCallSlot slot) override
    {
        tableCalls.push_back({ table, timeout, false, wait, slot });
    }
    void followFeeder(const SocketAddress&, StoreTable, RowVersion, Duration, Duration, StoreCallSlot) override { }
    void cancelCall(StoreTable table, StoreCallSlot slot) override { cancelled.emplace_back(table, slot); }
    void writeHost(const HostName&, const std::string&) override { ++hostWrites; }
    void acceptSession(SessionId id) override { accepted.insert(id); }
    void refuseSession(SessionId id, const Session::Failure& failure) override { refused[id] = failure.code; }
    void answer(SessionId id, const Session::Answer& answer) override { answers[id] = answer; }
    void forwardSession(SessionId, const SessionRequest&, const HostEntry&) override { }
    void stateRoute(SessionId, const StatedRoute&) override { }
    void stateVersion(SessionId, ConfigVersion) override { }
    void endForwardedSession(SessionId) override { }
    void closeSession(SessionId) override { }
    void openConnection(ConnectionId id, const TargetRecord& target, const OrganisationName&,
        const std::optional<SocketAddress>&) override
    {
        opened[id] = target;
    }
    void closeConnection(ConnectionId id) override { closedConnections.push_back(id); }
    void send(ConnectionId id, const std::vector<TargetRequest>& requests) override
    {
        for (const auto& request : requests)
            sent.emplace_back(id, request);
    }
    void readLease(const GroupName& group) override
    {
        ++leaseReads;
        newLeaseReads.push_back(group);
    }
    void writeLease(const GroupName&, const PromotionLease& lease, RowVersion) override
    {
        leaseWrites.push_back(lease);
    }
    void readMembers(const GroupName&, const std::string&) override { }
    void promote(const GroupName&, const TargetName&, RowVersion, Instant) override { }
    void answerFeed(RequestId, const std::optional<FeedPage>& page) override { feedAnswers.push_back(page); }
    void queryPeer(const SocketAddress& peer) override { queriedPeers.push_back(peer); }
    void queryVersion(const SocketAddress& peer, ConfigVersion version, Duration) override
    {
        versionQuestions.emplace_back(peer, version);
    }
    void sendDatagram(const SocketAddress&, std::string_view) override { }
    void log(const LogRecord& record) override { records.push_back(record); }
    void measure(std::string_view series, double) override { measured.emplace(series); }
};

/// Reads a row of the configuration as "VERSION DATABASE GROUP DATABASE GROUP ...", and a row of a target as "GROUP
/// PORT" or "GROUP PORT leaving".
struct TextRowReader final : RowReader {
    [[nodiscard]] Expected<std::optional<Catalog>> readCatalog(const StoreRow& row) const override
    {
        std::istringstream words(row.value);
        std::uint64_t version = 0;
        if (!(words >> version))
            return fail(ErrorCode::BadDocument, "read configuration", row.key, "no version");
        Catalog catalog;
        catalog.version = ConfigVersion(version);
        std::string database;
        std::string group;
        while (words >> database >> group) {
            Route route;
            route.group = GroupName(group);
            route.statementTimeout = 2s;
            catalog.routes[DatabaseName(database)] = route;
            catalog.groups[route.group] = { 50, 1 };
        }
        return std::optional(catalog);
    }
    [[nodiscard]] Expected<TargetRecord> readTarget(const StoreRow& row) const override
    {
        std::istringstream words(row.value);
        std::string group;
        std::string state;
        TargetRecord record;
        words >> group >> record.address.port >> state;
        record.name = TargetName(row.key);
        record.group = GroupName(group);
        record.address.ip = "10.0.0.1";
        record.isLeaving = state == "leaving";
        return record;
    }
};

/// A proxy in simulated time that has read a configuration of one database and the records of the group "group": the
/// primary p and the replicas r and s. Targets answer at once unless they are down.
struct RecordedProxy {
    /// @param settings of the host; the store's tables are read unless they are to be read by the test.
    explicit RecordedProxy(ProxySettings settings = {}, bool readsTables = true)
        : proxy(now, std::move(settings), reader, delegate, 1)
    {
        proxy.tick(now);
        if (!readsTables)
            return;
        read(StoreTable::Configuration, { 110, StoreEra(1) }, { { "config", "10 orders group" } });
        read(StoreTable::Targets, { 110, StoreEra(1) }, members());
    }

    struct Version {
        std::uint64_t number;
        StoreEra era;
    };
    using Rows = std::map<std::string, std::string>;

    static Rows members() { return { { "p", "group 1" }, { "r", "group 2" }, { "s", "group 3" } }; }
    static StorePage page(const Version& asOf, const Rows& rows)
    {
        const RowVersion version(asOf.number, asOf.era);
        StorePage made;
        made.asOf = version;
        for (const auto& [key, value] : rows)
            made.rows.push_back({ key, version, value, false });
        return made;
    }
    void read(StoreTable table, const Version& asOf, const Rows& rows)
    {
        forgetCalls(table);
        proxy.tableRead(now, table, page(asOf, rows));
    }
    void change(StoreTable table, const Version& asOf, const Rows& rows)
    {
        forgetCalls(table);
        proxy.tableFollowed(now, table, page(asOf, rows));
    }
    /// Makes the store answer in a new era with the given copies of both tables.
    void returnStore(const Version& asOf, const Rows& configuration, const Rows& targets)
    {
        change(StoreTable::Configuration, asOf, {});
        read(StoreTable::Configuration, asOf, configuration);
        change(StoreTable::Targets, asOf, {});
        read(StoreTable::Targets, asOf, targets);
    }

    /// @return the values of the last record of the event by the names of their fields.
    [[nodiscard]] std::map<std::string, std::string> fieldsOf(LogEvent event) const
    {
        std::map<std::string, std::string> fields;
        for (const auto& record : delegate.records) {
            if (record.event != event)
                continue;
            fields.clear();
            for (const auto& field : record.fields)
                fields[field.name] = field.value;
        }
        return fields;
    }
    /// @return the number of records of the event whose first field has the value.
    [[nodiscard]] std::size_t countOf(LogEvent event, const std::string& value) const
    {
        return static_cast<std::size_t>(
            std::count_if(delegate.records.begin(), delegate.records.end(), [&](const LogRecord& record) {
                return record.event == event && !record.fields.empty() && record.fields.front().value == value;
            }));
    }

    /// Opens a session and sends a statement on it.
    void open(std::uint64_t session, const std::string& database)
    {
        proxy.sessionOpened(now, SessionId(session), { DatabaseName(database) });
    }
    void send(std::uint64_t session, Session::StatementKind kind)
    {
        Session::Statement statement;
        statement.kind = kind;
        statement.text = "text";
        delegate.answers.erase(SessionId(session));
        proxy.statementArrived(now, SessionId(session), Session::StatementId("id"), statement);
    }
    /// @return why the last statement of the session failed; empty if it succeeded or was not answered yet.
    [[nodiscard]] std::optional<Session::FailureCode> failureOf(std::uint64_t session) const
    {
        const auto answer = delegate.answers.find(SessionId(session));
        if (answer == delegate.answers.end())
            return {};
        const auto* const failure = std::get_if<Session::Failure>(&answer->second.body);
        return failure ? std::optional(failure->code) : std::nullopt;
    }

    /// Answers the read of the promotion lease's row that a doubt about the primary requires: nothing is replaced. The
    /// reads of a promotion, which ends the doubts of this host itself, are left to the test.
    void answerDoubts()
    {
        for (const auto& group : std::exchange(delegate.newLeaseReads, {})) {
            const auto groups = nlohmann::json::parse(proxy.dump(now)).at("groups");
            if (!groups.contains(group.value()) || groups.at(group.value()).at("promotion") == "Reading")
                continue;
            --delegate.leaseReads;
            proxy.leaseRead(now, group, PromotionLeaseRow {});
        }
    }

    /// Lets time pass, in which targets that are not down answer.
    void run(Duration length)
    {
        for (const auto end = now + length; now < end; now += Proxy::tickInterval) {
            for (const auto& [id, target] : std::exchange(delegate.opened, {})) {
                targets[id] = target;
                if (down.contains(target.name))
                    proxy.connectionRefused(now, id, Session::FailureCode::Failed);
                else
                    proxy.connectionOpened(now, id, {});
            }
            for (const auto& [id, request] : std::exchange(delegate.sent, {}))
                reply(id, request);
            proxy.tick(now);
            answerDoubts();
        }
    }
    /// Ends the connections to the target and refuses new ones.
    void stop(const std::string& name)
    {
        down.insert(TargetName(name));
        for (const auto& [id, target] : targets) {
            if (target.name == TargetName(name))
                proxy.connectionLost(now, id);
        }
    }

    Instant now { 100s };
    ProxyRecorder delegate;
    TextRowReader reader;
    Proxy proxy;
    std::map<ConnectionId, TargetRecord> targets;
    std::set<TargetName> down;
    /// The groups at which statements of callers ran, in order.
    std::vector<GroupName> ran;

private:
    /// Forgets the call that is being answered.
    void forgetCalls(StoreTable table)
    {
        std::erase_if(delegate.tableCalls, [table](const auto& call) { return call.table == table; });
    }
    void reply(ConnectionId id, const TargetRequest& request)
    {
        const auto& target = targets.at(id);
        if (down.contains(target.name))
            return;
        TargetReply reply { Session::Success {}, Session::TransactionState::Idle, {}, {} };
        if (std::holds_alternative<RunStatement>(request))
            ran.push_back(target.group);
        if (std::holds_alternative<BeginTransaction>(request))
            m_openTransactions.insert(id);
        if (std::holds_alternative<RollbackTransaction>(request))
            m_openTransactions.erase(id);
        if (m_openTransactions.contains(id))
            reply.state = Session::TransactionState::Open;
        reply.position = LogPoint { Term(2), Position(9) };
        reply.status = TargetStatus {};
        reply.status->isPrimary = target.name == TargetName("p") || target.group != GroupName("group");
        reply.status->term = Term(2);
        reply.status->received = { Term(2), Position(9) };
        proxy.replied(now, id, reply);
    }

    std::set<ConnectionId> m_openTransactions;
};

} // namespace Auburnpost::Proxy
