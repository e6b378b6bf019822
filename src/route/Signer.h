#pragma once

#include "base/Expected.h"

#include <optional>
#include <string>
#include <string_view>

namespace Auburnpost::Route {

/// Seals text with HMAC-SHA256, so that callers can keep it and hosts can verify that it is unchanged.
class Signer {
public:
    /// @param key key for sealing and opening; @param previousKey key that is still accepted for opening while keys are
    /// rotated.
    explicit Signer(std::string key, std::optional<std::string> previousKey = std::nullopt);

    /// @param context purpose and owner of the text; opening it in another context fails.
    /// @return the payload and its signature as URL-safe text.
    [[nodiscard]] std::string seal(std::string_view context, std::string_view payload) const;
    /// @return the payload, or ErrorCode::BadSession when the text is not one that was sealed in this context.
    [[nodiscard]] Expected<std::string> open(std::string_view context, std::string_view sealed) const;

private:
    std::string m_key;
    std::optional<std::string> m_previousKey;
};

} // namespace Auburnpost::Route
