#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "message/Statement.h"

#include <optional>
#include <string>

namespace Auburnpost {

enum class CallerAction : std::uint8_t {
    Execute,
    Begin,
    ExecuteInTransaction,
    Commit,
    Rollback,
};

/// A syntactically valid request of a caller; its contents are not verified yet.
struct CallerRequest {
    RequestId id;
    CallerAction action { CallerAction::Execute };
    OrganisationName organisation;
    /// The bearer key in plain text.
    std::string key;
    DatabaseName database;
    Statement statement;
    Access access { Access::Read };
    /// Greatest age of the data that a read may return; empty applies the organisation's maximum age.
    std::optional<Duration> maxAge;
    /// Text of the Auburnpost-Session header; empty when there was none.
    std::string session;
    /// Text of the Idempotency-Key header; empty when there was none.
    std::string idempotencyKey;
    std::optional<Duration> timeout;
    /// Handle of the transaction, for the actions that need one.
    std::string transaction;
};

} // namespace Auburnpost
