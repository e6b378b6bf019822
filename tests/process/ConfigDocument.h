#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Auburnpost::Test {

/// The configuration that the operator writes.
struct ConfigDocument {
    std::uint64_t version { 1 };
    /// The group of each database that has a route.
    std::map<std::string, std::string> routes;
    std::vector<std::string> groups;
    int connectionLimit { 0 };

    [[nodiscard]] std::string toJson() const;
};

/// @return the record of a target that is ready and the primary of its group.
std::string makeTargetRecord(const std::string& group, const std::string& address);

} // namespace Auburnpost::Test
