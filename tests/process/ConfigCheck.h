#pragma once

#include "process/ConfigHistory.h"
#include "process/ProxyHost.h"

#include <optional>

namespace Auburnpost::Test {

/// A request that was handled as only an older version allows.
struct ConfigViolation {
    const ConfigRequest* request { nullptr };
    /// The oldest version that was allowed to handle the request.
    std::uint64_t oldestAllowed { 0 };
    /// The newest version that handles the request as it was handled; 0 if none does.
    std::uint64_t handledBy { 0 };
    /// Whether the host had shown the effect of the oldest allowed version before. Otherwise that version was
    /// acknowledged for longer than the bound.
    bool isRegress { false };
};

/// Checks that hosts in touch apply each version in time, and that no host goes back to an older version.
class ConfigCheck {
public:
    ConfigCheck(const ConfigHistory&, const HostBounds&);

    [[nodiscard]] std::vector<ConfigViolation> violations() const;
    /// @return the number of requests to which the bound of the configuration applied.
    [[nodiscard]] std::size_t boundedRequests() const;

private:
    /// The version that a host certainly had at a moment.
    struct Floor {
        Moment since;
        std::uint64_t version { 0 };
    };

    [[nodiscard]] bool isInTouch(const ConfigRequest&) const;
    /// @return the version that must be known to a host that is in touch; 0 if there is none.
    [[nodiscard]] std::uint64_t dueVersion(const ConfigRequest&) const;
    /// @return the oldest version from @p oldest on that handles the request as it was handled.
    [[nodiscard]] std::optional<std::uint64_t> firstMatch(const ConfigRequest&, std::uint64_t oldest) const;
    [[nodiscard]] ConfigViolation describe(const ConfigRequest&, std::uint64_t oldestAllowed, bool isRegress) const;
    void checkRegress(std::vector<const ConfigRequest*> requests, std::vector<ConfigViolation>&) const;

    const ConfigHistory& m_history;
    std::chrono::milliseconds m_propagation;
    std::chrono::milliseconds m_stabilityWindow;
    std::chrono::milliseconds m_rollbackSlack;
};

} // namespace Auburnpost::Test
