#include "proxy/PreparedName.h"

#include "config/Hexadecimal.h"

#include <openssl/sha.h>

namespace Auburnpost::Proxy {

PreparedName PreparedName::of(const Session::PreparedShape& prepared)
{
    static_assert(digestSize == SHA256_DIGEST_LENGTH);
    PreparedName name;
    name.m_access = prepared.access;
    SHA256(reinterpret_cast<const unsigned char*>(prepared.shape.data()), prepared.shape.size(), name.m_digest.data());
    return name;
}

std::string PreparedName::toString() const
{
    const auto digest = Config::formatHexadecimal({ reinterpret_cast<const char*>(m_digest.data()), digestSize });
    return (m_access == Session::Access::Read ? "r" : "w") + digest;
}

} // namespace Auburnpost::Proxy
