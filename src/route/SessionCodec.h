#pragma once

#include "base/Expected.h"
#include "base/Ids.h"

#include <string>
#include <string_view>

namespace Auburnpost::Route {

class SessionToken;
class Signer;
struct TransactionHandle;

/// @return the sealed token for the caller; only this organisation can use it.
std::string writeSession(const Signer&, const OrganisationName&, const SessionToken&);
/// @return the token, or ErrorCode::BadSession for text that no host has sealed for this organisation.
Expected<SessionToken> readSession(const Signer&, const OrganisationName&, std::string_view text);

/// @return the sealed handle for the caller; only this organisation can use it.
std::string writeHandle(const Signer&, const OrganisationName&, const TransactionHandle&);
/// @return the handle, or ErrorCode::UnknownTransaction for text that no host has sealed for this organisation.
Expected<TransactionHandle> readHandle(const Signer&, const OrganisationName&, std::string_view text);

} // namespace Auburnpost::Route
