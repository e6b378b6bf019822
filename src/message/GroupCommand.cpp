#include "message/GroupCommand.h"

#include <charconv>

namespace Auburnpost {

namespace {

    constexpr std::size_t statusColumnCount = 7;

    template <typename Number> std::string toText(Number number)
    {
        return std::to_string(number);
    }

    bool parseNumber(const SqlValue& value, std::uint64_t& number)
    {
        if (!value)
            return false;
        const auto* const end = value->data() + value->size();
        const auto [parsedEnd, problem] = std::from_chars(value->data(), end, number);
        return problem == std::errc {} && parsedEnd == end;
    }

    bool parseRole(const SqlValue& value, TargetRole& role)
    {
        for (const auto knownRole : { TargetRole::Replica, TargetRole::Primary, TargetRole::Fenced }) {
            if (value == std::string(toString(knownRole))) {
                role = knownRole;
                return true;
            }
        }
        return false;
    }

} // namespace

Statement GroupCommand::toStatement() const
{
    switch (operation) {
    case GroupOperation::Status:
        return { "SELECT * FROM group_status()", {} };
    case GroupOperation::Fence:
        return { "SELECT * FROM group_fence($1, $2)", { toText(term.value()), candidate } };
    case GroupOperation::Promote:
        return { "SELECT * FROM group_promote($1, $2)", { toText(term.value()), candidate } };
    case GroupOperation::Follow:
        return { "SELECT * FROM group_follow($1, $2)", { toText(term.value()), primary.value() } };
    case GroupOperation::Wait:
        return { "SELECT * FROM group_wait($1, $2, $3)",
            { toText(point.term.value()), toText(point.position.value()), toText(toMilliseconds(timeout)) } };
    }
    return {};
}

Expected<GroupStatus> GroupStatus::parse(const ResultSet& result)
{
    const auto malformed
        = [] { return fail(ErrorCode::BadMessage, "read group status", "", "the answer is not a group status"); };
    if (result.rows.size() != 1 || result.rows.front().size() != statusColumnCount)
        return malformed();
    const auto& row = result.rows.front();
    std::uint64_t fenced = 0;
    std::uint64_t lastTerm = 0;
    std::uint64_t position = 0;
    GroupStatus status;
    if (!parseRole(row[1], status.role) || !parseNumber(row[2], fenced) || !parseNumber(row[3], lastTerm)
        || !parseNumber(row[4], position))
        return malformed();
    status.accepted = row[0] == "t";
    status.fencedTerm = Term(fenced);
    status.end = { Term(lastTerm), Position(position) };
    status.following = TargetName(row[5].value_or(""));
    status.candidate = row[6].value_or("");
    return status;
}

} // namespace Auburnpost
