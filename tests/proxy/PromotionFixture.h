#pragma once

#include "proxy/Promotion.h"
#include "proxy/UnreplacedPrimary.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

/// Records the calls and commands of a promotion.
struct PromotionRecorder final : PromotionDelegate {
    std::size_t reads { 0 };
    std::size_t writes { 0 };
    std::size_t memberReads { 0 };
    std::optional<PromotionLease> lease;
    std::vector<std::string> commands;
    Instant callBefore {};
    /// Moment before which the last resume command has to be sent.
    Instant resumeBefore {};
    std::optional<TargetName> promoted;
    std::uint64_t token { 0 };
    std::map<LogEvent, std::size_t> logged;

    void readLease(const GroupName&) override { ++reads; }
    void writeLease(const GroupName&, const PromotionLease& written, RowVersion) override
    {
        ++writes;
        lease = written;
    }
    void readMembers(const GroupName&) override { ++memberReads; }
    void promote(const GroupName&, const TargetName& target, RowVersion version, Instant sendBefore) override
    {
        callBefore = sendBefore;
        promoted = target;
        token = version.value();
    }
    void sendCommand(const TargetName& target, const TargetRequest& request, Instant sendBefore) override
    {
        if (std::holds_alternative<ResumeReplica>(request))
            resumeBefore = sendBefore;
        const auto name = std::holds_alternative<FenceReplica>(request) ? "fence "
            : std::holds_alternative<ResumeReplica>(request)            ? "resume "
            : std::holds_alternative<DemotePrimary>(request)            ? "demote "
                                                                        : "query ";
        commands.push_back(name + target.value());
    }
    void log(const LogRecord& record) override { ++logged[record.event]; }
    void measure(std::string_view, double) override { }

    [[nodiscard]] bool has(const std::string& wanted) const
    {
        return std::find(commands.begin(), commands.end(), wanted) != commands.end();
    }
};

inline TargetStatus makeStatus(bool isPrimary, std::uint64_t term, std::uint64_t position, std::uint64_t fenced = 0)
{
    TargetStatus result;
    result.isPrimary = isPrimary;
    result.term = Term(term);
    result.received = { Term(term), Position(position) };
    result.fencedTerm = Term(fenced);
    return result;
}

/// A group whose primary p is down, and its promotion.
struct PromotionFixture {
    Instant now { 100s };
    PromotionRecorder delegate;
    GroupWatcher watcher;
    RandomEngine random { 1 };
    Promotion promotion { HostName("host"), GroupName("group"), delegate };

    PromotionFixture()
    {
        watcher.setRules({ 50, 1 });
        std::vector<TargetRecord> records(3);
        for (std::size_t index = 0; index < records.size(); ++index) {
            records[index].name = TargetName(std::string(1, "prs"[index]));
            records[index].address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
        }
        watcher.setMembers(now, records);
        showUnreplaced(watcher, now, TargetName("p"));
        reportStatus("p", makeStatus(true, 1, 9));
        reportStatus("r", makeStatus(false, 1, 7));
        reportStatus("s", makeStatus(false, 1, 8));
        for (std::size_t count = 0; count < TargetHealth::refusalsUntilDown; ++count)
            watcher.health(TargetName("p"))->recordRefusal(now);
    }

    void reportStatus(const std::string& name, const TargetStatus& status)
    {
        watcher.health(TargetName(name))->recordResponse(now, {});
        watcher.recordStatus(now, TargetName(name), now, status);
    }
    void tick(Duration step)
    {
        now += step;
        promotion.tick(now, watcher, FailoverReason::Down);
    }
    /// Advances to the state in which the lease is held and the fence commands are sent.
    void acquireLease()
    {
        promotion.start(now, watcher, random, PromotionGoal::ReplacePrimary, FailoverReason::Down);
        tick(Promotion::startJitter);
        promotion.leaseRead(now, watcher, PromotionLeaseRow { RowVersion(5), {}, 1000 });
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(6)));
    }
    void reportFenced()
    {
        reportStatus("r", makeStatus(false, 1, 7, 2));
        reportStatus("s", makeStatus(false, 1, 8, 2));
    }
    /// Answers the write that records the candidate, after which the fences are verified.
    void record()
    {
        REQUIRE(promotion.state() == "Recording");
        now += 10ms;
        promotion.leaseWritten(now, watcher, std::optional(RowVersion(7)));
    }
    /// Advances to the state in which the fences are verified.
    void verify()
    {
        acquireLease();
        reportFenced();
        promotion.membersRead(now, watcher, true);
        tick(30ms);
        record();
        reportFenced();
    }
    /// Advances to the promotion call for s and its outcome.
    void call(PromotionOutcome outcome = PromotionOutcome::Accepted)
    {
        verify();
        tick(30ms);
        REQUIRE(delegate.promoted);
        promotion.promoteAnswered(now, watcher, outcome);
    }
    /// Advances to the state in which s is primary, p is demoted and r has to follow.
    void finish()
    {
        call();
        now += 300ms;
        reportStatus("s", makeStatus(true, 2, 0));
        reportStatus("p", makeStatus(false, 2, 0));
        tick(30ms);
        REQUIRE(promotion.state() == "Finishing");
    }
};

} // namespace Auburnpost::Proxy
