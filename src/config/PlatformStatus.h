#pragma once

/// HTTP status codes of the platform's answers.
namespace Auburnpost::Config::PlatformStatus {

inline constexpr int ok = 200;
inline constexpr int notFound = 404;
/// The row's version differs from the expected version.
inline constexpr int preconditionFailed = 412;
inline constexpr int firstClientError = 400;
inline constexpr int firstServerError = 500;

} // namespace Auburnpost::Config::PlatformStatus
