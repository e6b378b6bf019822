#pragma once

#include "base/Time.h"

#include <algorithm>

namespace Auburnpost::Proxy {

/// Time for which statements of a group have to wait for connections before idle transactions of the group count as
/// the cause; shorter waits are bursts.
constexpr Duration connectionShortageDelay = std::chrono::milliseconds(200);

/// @param configured the limit of the configuration; zero for no limit.
/// @param isShort whether statements of the transaction's group wait because connections are short.
/// @return time without a statement after which a transaction is rolled back. Under a shortage a quarter of the
/// configured limit, but not less than 500 ms, which a caller between two statements does not exceed.
constexpr Duration transactionIdleLimit(Duration configured, bool isShort)
{
    constexpr int shortageDivisor = 4;
    constexpr Duration minimum = std::chrono::milliseconds(500);
    return isShort ? std::min(configured, std::max(configured / shortageDivisor, minimum)) : configured;
}

} // namespace Auburnpost::Proxy
