#pragma once

#include "load/Endpoints.h"
#include "load/HistoryChecker.h"
#include "load/HttpClient.h"

namespace Auburnpost::Load {

/// Sends one request and blocks until its answer, using an event loop of its own.
HttpAnswer fetch(const SocketAddress&, const std::string& path, const std::string& body = "");

/// Queries the targets of @p database for the primary.
/// @return the primary, or ErrorCode::NoPrimary when no target has this role.
Expected<TargetEndpoint> fetchPrimary(const Endpoints&, const DatabaseName&);

/// Reads the log of each database from its primary.
/// @return the logs, or the first error.
Expected<FinalLogs> fetchPrimaryLogs(const Endpoints&);

} // namespace Auburnpost::Load
