#pragma once

#include "base/Ids.h"
#include "config/KeyDigest.h"
#include "limit/AllotmentLimit.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

struct OrganisationRules {
    /// Empty if the organisation's rate is not limited.
    std::optional<Limit::AllotmentLimit> allotment;
    /// 0 is the highest priority.
    std::uint32_t priority { 0 };
};

/// The organisations of a deployment and the digests of their keys. A deployment without organisations serves every
/// caller, whatever key it presents. Keys themselves are not kept.
class Organisations {
public:
    /// Adds an organisation. A key that several organisations have identifies none of them.
    void add(const OrganisationName&, const OrganisationRules&, const std::vector<Config::KeyDigest>& keys);

    [[nodiscard]] bool isEmpty() const { return m_rules.empty(); }
    [[nodiscard]] bool contains(const OrganisationName& name) const { return m_rules.contains(name); }
    /// @return the organisation that has the key; empty if none has it, or more than one.
    [[nodiscard]] std::optional<OrganisationName> findByKey(const Config::KeyDigest&) const;
    [[nodiscard]] const std::map<OrganisationName, OrganisationRules>& rules() const { return m_rules; }
    [[nodiscard]] std::size_t keyCount() const { return m_owners.size(); }

private:
    std::map<OrganisationName, OrganisationRules> m_rules;
    /// By the digest's text. The duration of a lookup depends on the digest alone, from which a key can't be derived.
    /// An empty owner marks a key of several organisations.
    std::map<std::string, std::optional<OrganisationName>> m_owners;
};

} // namespace Auburnpost::Proxy
