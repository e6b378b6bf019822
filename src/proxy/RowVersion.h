#pragma once

#include "base/StrongId.h"

namespace Auburnpost::Proxy {

/// Rises each time the platform's store comes back from an older copy of itself. Zero for a store that states none.
using StoreEra = StrongId<std::uint64_t, struct StoreEraTag>;

/// Version of a row in the platform's store, from one counter for all rows. In a new era of the store the counter goes
/// back and numbers of the era before are given out again, so versions are ordered by era first.
class RowVersion {
public:
    RowVersion() = default;
    explicit RowVersion(std::uint64_t number, StoreEra era = {})
        : m_era(era)
        , m_number(number)
    {
    }

    [[nodiscard]] StoreEra era() const { return m_era; }
    /// @return the number within the era.
    [[nodiscard]] std::uint64_t value() const { return m_number; }
    auto operator<=>(const RowVersion&) const = default;

private:
    StoreEra m_era;
    std::uint64_t m_number { 0 };
};

/// @return the version for logs, such as "120", or "2/120" in the second era.
inline std::string toString(const RowVersion& version)
{
    const auto number = std::to_string(version.value());
    return version.era() == StoreEra {} ? number : std::to_string(version.era().value()) + "/" + number;
}

inline std::ostream& operator<<(std::ostream& stream, const RowVersion& version)
{
    return stream << toString(version);
}

} // namespace Auburnpost::Proxy
