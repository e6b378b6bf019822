#pragma once

#include <nlohmann/json.hpp>

namespace Auburnpost::Config {

/// JSON type that preserves the order of object members as written by operators.
using Json = nlohmann::ordered_json;

} // namespace Auburnpost::Config
