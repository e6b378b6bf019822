#pragma once

#include "base/Expected.h"

#include <string>

namespace Auburnpost {

/// @param path a file, or "-" for standard input.
/// @return the whole content, or ErrorCode::BadRequest when it can't be read.
Expected<std::string> readTextFile(const std::string& path);

} // namespace Auburnpost
