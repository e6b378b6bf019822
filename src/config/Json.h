#pragma once

#include <nlohmann/json.hpp>

namespace Auburnpost::Config {

/// Keeps the members in the order in which operators wrote them.
using Json = nlohmann::ordered_json;

} // namespace Auburnpost::Config
