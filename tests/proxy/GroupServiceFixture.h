#pragma once

#include "proxy/GroupService.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

/// Records what the service requests; the fixture replies to it.
struct RecordingServiceDelegate final : GroupServiceDelegate {
    struct Sent {
        ConnectionId connection;
        TargetRequest request;
    };

    std::map<ConnectionId, TargetName> targets;
    std::map<ConnectionId, std::optional<SocketAddress>> relayOf;
    std::vector<SocketAddress> relayAddresses;
    std::vector<ConnectionId> opened;
    std::vector<Sent> sent;
    std::vector<StatementResult> results;
    std::set<ConnectionId> closed;
    std::vector<LogEvent> logged;
    bool isLeaseRead { false };
    std::uint64_t lastConnection { 0 };
    RandomEngine engine { 1 };

    void openConnection(ConnectionId id, const TargetRecord& target, const OrganisationName&,
        const std::optional<SocketAddress>& relay) override
    {
        targets[id] = target.name;
        relayOf[id] = relay;
        opened.push_back(id);
    }
    void closeConnection(ConnectionId id) override { closed.insert(id); }
    void send(ConnectionId id, const std::vector<TargetRequest>& requests) override
    {
        for (const auto& request : requests)
            sent.push_back({ id, request });
    }
    void readLease(const GroupName&) override { isLeaseRead = true; }
    void writeLease(const GroupName&, const PromotionLease&, RowVersion) override { }
    void readMembers(const GroupName&) override { }
    void promote(const GroupName&, const TargetName&, RowVersion, Instant) override { }
    void statementFinished(const StatementResult& result) override { results.push_back(result); }
    void transactionLost(SessionId) override { }
    void log(const LogRecord& record) override { logged.push_back(record.event); }
    void measure(std::string_view, double) override { }
    [[nodiscard]] std::ptrdiff_t countOf(LogEvent event) const
    {
        return std::count(logged.begin(), logged.end(), event);
    }
    ConnectionId nextConnectionId() override { return ConnectionId(++lastConnection); }
    RandomEngine& random() override { return engine; }
    [[nodiscard]] const std::vector<SocketAddress>& relays() const override { return relayAddresses; }
};

/// A group of a primary and two replicas, served by one host.
struct GroupServiceFixture {
    Instant now { 100s };
    RecordingServiceDelegate delegate;
    GroupService service { HostName("host"), GroupName("group"), delegate };
    std::set<TargetName> unresponsive;
    /// A target that refuses connections, and its reason.
    std::optional<std::pair<TargetName, Session::FailureCode>> refusing;
    std::size_t refusals { 0 };
    /// Relays that can't reach the unresponsive targets either.
    std::set<SocketAddress> refusingRelays;
    std::uint64_t lastId { 0 };
    std::vector<TargetRecord> records { 3 };
    std::map<TargetName, Term> fences;
    PromotionLeaseRow leaseRow;
    bool isStoreAnswering { true };
    /// The target that reports to be the primary, and in which term.
    TargetName primary { "p" };
    Term term { 1 };
    /// Ends of the logs that targets report, if not 10.
    std::map<TargetName, Position> ends;

    GroupServiceFixture()
    {
        service.setRules({ 50, 1 });
        for (std::size_t index = 0; index < records.size(); ++index) {
            records[index].name = TargetName(std::string(1, "prs"[index]));
            records[index].address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
            records[index].slots = 3;
        }
        service.setMembers(now, records);
        run(100ms);
    }

    /// Advances the time in ticks. Opens connections at once and answers all requests but callers' statements, except
    /// for unresponsive targets.
    void run(Duration length)
    {
        for (const auto end = now + length; now < end; now += 10ms) {
            service.tick(now);
            answerOwnRequests();
        }
    }

    /// Answers the reads of the lease's row, apart from those of a promotion.
    void answerLeaseRead()
    {
        if (service.promotion().state() == "Reading" || !std::exchange(delegate.isLeaseRead, false))
            return;
        if (isStoreAnswering)
            service.leaseRead(now, leaseRow);
        else
            service.leaseRead(now, fail(ErrorCode::PlatformUnavailable, "read", "store", "no answer"));
    }

    void answerOwnRequests()
    {
        answerLeaseRead();
        for (const auto id : std::exchange(delegate.opened, {})) {
            const auto& relay = delegate.relayOf.at(id);
            if (refusing && refusing->first == delegate.targets.at(id)) {
                ++refusals;
                service.connectionRefused(now, id, refusing->second);
                continue;
            }
            if (relay && refusingRelays.contains(*relay))
                service.connectionRefused(now, id, Session::FailureCode::Failed);
            else if (relay || !unresponsive.contains(delegate.targets.at(id)))
                service.connectionOpened(now, id, {});
        }
        for (const auto& sent : std::exchange(delegate.sent, {})) {
            const auto& target = delegate.targets.at(sent.connection);
            if (unresponsive.contains(target) && !delegate.relayOf.at(sent.connection))
                continue;
            // A target answers in order: a request that follows a statement waits for the statement's reply.
            if (unanswered.contains(sent.connection)) {
                queuedRequests.push_back(sent);
                continue;
            }
            if (std::holds_alternative<RunStatement>(sent.request)) {
                unanswered.insert(sent.connection);
                statements.push_back(sent);
                continue;
            }
            TargetReply reply { Session::Success {}, Session::TransactionState::Idle, {}, {} };
            if (std::holds_alternative<BeginTransaction>(sent.request))
                reply.state = Session::TransactionState::Open;
            reply.status = TargetStatus {};
            reply.status->isPrimary = target == primary;
            reply.status->term = term;
            reply.status->received = { term, ends.contains(target) ? ends.at(target) : Position(10) };
            if (const auto* const fence = std::get_if<FenceReplica>(&sent.request))
                fences[target] = fence->term;
            reply.status->fencedTerm = fences[target];
            service.replied(now, sent.connection, reply);
        }
    }

    PendingStatement makeStatement(Session::StatementKind kind, Consistency consistency)
    {
        PendingStatement pending;
        pending.id = PendingStatementId(++lastId);
        pending.session = SessionId(pending.id.value());
        pending.statement.kind = kind;
        pending.access = kind == Session::StatementKind::Write ? Session::Access::Write : Session::Access::Read;
        pending.route = { GroupName("group"), consistency, 800ms, 1, 1500ms };
        pending.arrivedAt = now;
        pending.freshAsOf = now;
        pending.deadline = now + pending.route.statementTimeout;
        return pending;
    }

    [[nodiscard]] const Session::Failure* failure() const
    {
        return delegate.results.empty() ? nullptr : std::get_if<Session::Failure>(&delegate.results.back().answer.body);
    }

    void reply(const RecordingServiceDelegate::Sent& sent, const TargetReply& answer)
    {
        unanswered.erase(sent.connection);
        service.replied(now, sent.connection, answer);
        for (const auto& next : std::exchange(queuedRequests, {}))
            delegate.sent.push_back(next);
    }

    std::vector<RecordingServiceDelegate::Sent> statements;
    std::set<ConnectionId> unanswered;
    std::vector<RecordingServiceDelegate::Sent> queuedRequests;
};

} // namespace Auburnpost::Proxy
