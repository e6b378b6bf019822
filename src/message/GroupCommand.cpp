#include "message/GroupCommand.h"

#include <charconv>

namespace Auburnpost {

namespace {

    constexpr std::size_t statusColumns = 7;

    template <typename Number> std::string numberText(Number number)
    {
        return std::to_string(number);
    }

    bool readNumber(const SqlValue& value, std::uint64_t& number)
    {
        if (!value)
            return false;
        const auto* const end = value->data() + value->size();
        const auto [rest, problem] = std::from_chars(value->data(), end, number);
        return problem == std::errc {} && rest == end;
    }

    bool readRole(const SqlValue& value, TargetRole& role)
    {
        for (const auto candidate : { TargetRole::Replica, TargetRole::Primary, TargetRole::Fenced }) {
            if (value == std::string(toString(candidate))) {
                role = candidate;
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
        return { "SELECT * FROM group_fence($1, $2)", { numberText(term.value()), candidate } };
    case GroupOperation::Promote:
        return { "SELECT * FROM group_promote($1, $2)", { numberText(term.value()), candidate } };
    case GroupOperation::Follow:
        return { "SELECT * FROM group_follow($1, $2)", { numberText(term.value()), primary.value() } };
    case GroupOperation::Wait:
        return { "SELECT * FROM group_wait($1, $2, $3)",
            { numberText(point.term.value()), numberText(point.position.value()),
                numberText(toMilliseconds(timeout)) } };
    }
    return {};
}

Expected<GroupStatus> GroupStatus::parse(const ResultSet& result)
{
    const auto refuse
        = [] { return fail(ErrorCode::BadMessage, "read group status", "", "the answer is not a group status"); };
    if (result.rows.size() != 1 || result.rows.front().size() != statusColumns)
        return refuse();
    const auto& row = result.rows.front();
    std::uint64_t fenced = 0;
    std::uint64_t lastTerm = 0;
    std::uint64_t position = 0;
    GroupStatus status;
    if (!readRole(row[1], status.role) || !readNumber(row[2], fenced) || !readNumber(row[3], lastTerm)
        || !readNumber(row[4], position))
        return refuse();
    status.accepted = row[0] == "t";
    status.fencedTerm = Term(fenced);
    status.end = { Term(lastTerm), Position(position) };
    status.following = TargetName(row[5].value_or(""));
    status.candidate = row[6].value_or("");
    return status;
}

} // namespace Auburnpost
