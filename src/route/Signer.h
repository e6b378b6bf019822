#pragma once

#include "base/Expected.h"

#include <optional>
#include <string>
#include <string_view>

namespace Auburnpost::Route {

/// Seals text with HMAC-SHA256, so that callers can carry it and hosts can trust it.
class Signer {
public:
    /// @param key the key that seals and opens; @param previousKey one that still opens, while keys are rotated.
    explicit Signer(std::string key, std::optional<std::string> previousKey = std::nullopt);

    /// @param context what the sealed text belongs to; opening it in another context fails.
    /// @return the payload and its signature as URL-safe text.
    [[nodiscard]] std::string seal(std::string_view context, std::string_view payload) const;
    /// @return the payload, or ErrorCode::BadSession when the text is not one that was sealed in this context.
    [[nodiscard]] Expected<std::string> open(std::string_view context, std::string_view sealed) const;

private:
    std::string m_key;
    std::optional<std::string> m_previousKey;
};

} // namespace Auburnpost::Route
