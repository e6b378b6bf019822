#pragma once

#include "process/GroupLog.h"

#include <chrono>
#include <string>
#include <vector>

namespace Auburnpost::Test {

/// Consistency of a route, as its kind in the configuration says.
enum class RouteKind { Primary, ReadYourWrites, BoundedStaleness };

/// A statement as its caller saw it. Statements that end by themselves without an answer are kept too.
struct CallerStatement {
    std::string id;
    std::string text;
    std::size_t host { 0 };
    /// Number of the session, over all callers.
    std::size_t session { 0 };
    RouteKind route { RouteKind::Primary };
    /// A write, or a statement of a plain transaction: only a primary runs it.
    bool needsPrimary { false };
    /// A write by itself or a COMMIT.
    bool commits { false };
    /// Before the first byte of the statement, or of its transaction, was sent.
    Moment firstByteAt;
    /// After the answer was read.
    Moment endedAt;
    bool succeeded { false };
};

/// A statement that ran at a member.
struct MemberRun {
    std::string id;
    std::string member;
    Moment at;
    bool isPrimary { false };
    /// End of the log that it ran on.
    LogEntryIndex log { 0 };
};

/// A promotion that took effect.
struct PromotionEffect {
    std::string member;
    std::uint64_t term { 0 };
    LogEntryIndex log { 0 };
    Moment at;
};

/// A call for a promotion that was accepted.
struct PromotionOrder {
    std::string member;
    std::string holder;
    std::string token;
    Moment at;
};

/// All that a run leaves for the check.
struct GroupHistory {
    std::chrono::milliseconds readYourWritesStaleness { 2500 };
    std::chrono::milliseconds boundedStaleness { 1500 };
    GroupLog log;
    /// End of the log of the last primary.
    LogEntryIndex lastLog { 0 };
    std::vector<CallerStatement> statements;
    std::vector<MemberRun> runs;
    std::vector<PromotionEffect> promotions;
    std::vector<PromotionOrder> orders;
};

} // namespace Auburnpost::Test
