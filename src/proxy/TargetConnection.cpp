#include "proxy/TargetConnection.h"

#include <algorithm>

namespace Auburnpost::Proxy {

bool TargetConnection::mayBeLent() const
{
    return stage == ConnectionStage::Idle && expectedReplies.empty() && transaction == Session::TransactionState::Idle;
}

bool TargetConnection::isInForeignTransaction() const
{
    if (transaction == Session::TransactionState::Idle || stage == ConnectionStage::Pinned)
        return false;
    // A refused commit leaves its transaction open; a rollback must not.
    return stage != ConnectionStage::Releasing || lastAnswered == ReplyPurpose::Rollback;
}

bool TargetConnection::awaitsRollback() const
{
    return std::any_of(expectedReplies.begin(), expectedReplies.end(),
        [](const ExpectedReply& reply) { return reply.purpose == ReplyPurpose::Rollback; });
}

std::vector<TargetRequest> makeSetupRequests(
    TargetConnection& connection, const Session::SessionValues& values, const NamedShape* prepared)
{
    std::vector<TargetRequest> requests;
    // A single value can't be unset, so any value that the session does not have requires a reset of the connection.
    const bool hasExtraValue = std::any_of(connection.values.begin(), connection.values.end(),
        [&values](const auto& value) { return !values.contains(value.first); });
    if (hasExtraValue) {
        requests.emplace_back(ResetConnection {});
        connection.values.clear();
        connection.prepared.clear();
    }
    for (const auto& [name, value] : values) {
        const auto known = connection.values.find(name);
        if (known == connection.values.end() || known->second != value)
            requests.emplace_back(SetValue { name, value });
    }
    connection.values = values;
    if (prepared && connection.prepared.insert(prepared->name).second)
        requests.emplace_back(PrepareStatement { prepared->name.toString(), prepared->shape });
    return requests;
}

} // namespace Auburnpost::Proxy
