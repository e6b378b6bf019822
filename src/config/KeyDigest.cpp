#include "config/KeyDigest.h"

#include "config/Hexadecimal.h"

#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace Auburnpost::Config {

static_assert(KeyDigest::size == SHA256_DIGEST_LENGTH);

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.m_bytes.data());
    return digest;
}

std::optional<KeyDigest> KeyDigest::parse(std::string_view hexadecimal)
{
    const auto bytes = parseHexadecimal(hexadecimal);
    if (!bytes || bytes->size() != size)
        return std::nullopt;
    KeyDigest digest;
    std::copy(bytes->begin(), bytes->end(), digest.m_bytes.begin());
    return digest;
}

bool KeyDigest::matches(const KeyDigest& other) const
{
    return CRYPTO_memcmp(m_bytes.data(), other.m_bytes.data(), size) == 0;
}

std::string KeyDigest::toString() const
{
    return formatHexadecimal({ reinterpret_cast<const char*>(m_bytes.data()), size });
}

} // namespace Auburnpost::Config
