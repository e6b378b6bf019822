#pragma once

#include "load/Endpoints.h"
#include "load/HistoryChecker.h"
#include "load/HttpClient.h"

namespace Auburnpost::Load {

/// Makes one request and waits for its answer, on a loop of its own.
HttpAnswer request(const SocketAddress&, const std::string& path, const std::string& body = "");

/// Asks the targets of @p database who is primary.
/// @return the primary, or ErrorCode::NoPrimary.
Expected<TargetEndpoint> fetchPrimary(const Endpoints&, const DatabaseName&);

/// Reads the log of each database from its primary.
/// @return the logs, or the first failure.
Expected<FinalLogs> fetchPrimaryLogs(const Endpoints&);

} // namespace Auburnpost::Load
