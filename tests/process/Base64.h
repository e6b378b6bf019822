#pragma once

#include <string>

namespace Auburnpost::Test {

std::string encodeBase64(const std::string& bytes);

} // namespace Auburnpost::Test
