#pragma once

#include "message/GroupCommand.h"
#include "target/SqlCommand.h"

namespace Auburnpost::Standin {

/// @return whether the statement is a call of a group operation.
bool isGroupCall(const std::string& sql);

/// Reads `SELECT … group_NAME(…)` with parameters or literals as arguments.
/// @return the operation, or the fault in the call.
SqlExpected<GroupCommand> parseGroupCall(const SqlCommand&);

/// @return the one row that answers a group operation.
QueryResult toResult(const GroupStatus&);

/// @return the columns of that row.
std::vector<Column> groupColumns();

} // namespace Auburnpost::Standin
