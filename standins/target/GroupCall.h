#pragma once

#include "message/GroupCommand.h"
#include "target/SqlCommand.h"

namespace Auburnpost::Standin {

/// @return whether the statement is a call of a group operation.
bool isGroupCall(const std::string& sql);

/// Parses `SELECT … group_NAME(…)`, whose arguments are parameters or literals.
/// @return the operation, or an SqlError that describes the malformed call.
SqlExpected<GroupCommand> parseGroupCall(const SqlCommand&);

/// @return the single-row result of a group operation.
QueryResult toResult(const GroupStatus&);

/// @return the columns of the result of every group operation.
std::vector<Column> groupColumns();

} // namespace Auburnpost::Standin
