#include "route/Signer.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace Auburnpost::Route {

namespace {

    constexpr std::size_t signatureBytes = 32;
    using Signature = std::array<unsigned char, signatureBytes>;

    Signature sign(std::string_view key, std::string_view context, std::string_view payload)
    {
        // The length prefix marks where the context ends, so that no other split yields the same signed text.
        std::string text = std::to_string(context.size()) + ":";
        text.append(context).append(payload);
        Signature signature {};
        unsigned length = signatureBytes;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(text.data()), text.size(), signature.data(), &length);
        return signature;
    }

    std::string encode(std::string_view bytes)
    {
        std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
        const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
            reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
        text.resize(static_cast<std::size_t>(length));
        while (!text.empty() && text.back() == '=')
            text.pop_back();
        std::replace(text.begin(), text.end(), '+', '-');
        std::replace(text.begin(), text.end(), '/', '_');
        return text;
    }

    std::optional<std::string> decode(std::string_view text)
    {
        std::string padded(text);
        std::replace(padded.begin(), padded.end(), '-', '+');
        std::replace(padded.begin(), padded.end(), '_', '/');
        const auto padding = (4 - padded.size() % 4) % 4;
        padded.append(padding, '=');
        std::string bytes(padded.size() / 4 * 3, '\0');
        const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
            reinterpret_cast<const unsigned char*>(padded.data()), static_cast<int>(padded.size()));
        if (length < 0 || static_cast<std::size_t>(length) < padding)
            return std::nullopt;
        bytes.resize(static_cast<std::size_t>(length) - padding);
        return bytes;
    }

} // namespace

Signer::Signer(std::string key, std::optional<std::string> previousKey)
    : m_key(std::move(key))
    , m_previousKey(std::move(previousKey))
{
}

std::string Signer::seal(std::string_view context, std::string_view payload) const
{
    const auto signature = sign(m_key, context, payload);
    std::string bytes(signature.begin(), signature.end());
    bytes.append(payload);
    return encode(bytes);
}

Expected<std::string> Signer::open(std::string_view context, std::string_view sealed) const
{
    const auto bytes = decode(sealed);
    if (!bytes || bytes->size() < signatureBytes)
        return fail(ErrorCode::BadSession, "open sealed text", "", "it is not a text that a host has sealed");
    const auto payload = std::string_view(*bytes).substr(signatureBytes);
    const auto matches = [&](const std::string& key) {
        return CRYPTO_memcmp(sign(key, context, payload).data(), bytes->data(), signatureBytes) == 0;
    };
    if (!matches(m_key) && !(m_previousKey && matches(*m_previousKey)))
        return fail(ErrorCode::BadSession, "open sealed text", "", "the signature does not match");
    return std::string(payload);
}

} // namespace Auburnpost::Route
