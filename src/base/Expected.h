#pragma once

#include "base/Error.h"

#include <tl/expected.hpp>

namespace Auburnpost {

template <typename Value> using Expected = tl::expected<Value, Error>;

/// @return an error that converts to an Expected of any value type.
inline tl::unexpected<Error> fail(ErrorCode code, std::string step, std::string peer, std::string message)
{
    return tl::unexpected<Error>(Error { code, std::move(step), std::move(peer), std::move(message) });
}

} // namespace Auburnpost
