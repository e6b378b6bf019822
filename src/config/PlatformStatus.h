#pragma once

/// The HTTP statuses by which the platform answers.
namespace Auburnpost::Config::PlatformStatus {

inline constexpr int ok = 200;
inline constexpr int notFound = 404;
/// The row's version is not the expected one.
inline constexpr int preconditionFailed = 412;
inline constexpr int firstClientError = 400;
inline constexpr int firstServerError = 500;

} // namespace Auburnpost::Config::PlatformStatus
