#include "load/Mix.h"

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const std::vector<Mix>& mixes()
    {
        static const std::vector<Mix> table {
            { "ranwala",
                { { "browse", Access::Read, 80, seconds(10), false },
                    { "checkout_now", Access::Read, 5, milliseconds(0), false },
                    { "checkout_own", Access::Read, 5, std::nullopt, true },
                    { "profile_save", Access::KeyedWrite, 10, std::nullopt, false } } },
            { "smokewatch",
                { { "tile", Access::Read, 65, seconds(5), false }, { "advisory", Access::Read, 20, seconds(2), false },
                    { "own_posting", Access::Read, 5, std::nullopt, true },
                    { "posting", Access::KeylessWrite, 10, std::nullopt, false } } },
        };
        return table;
    }

} // namespace

Expected<Mix> Mix::find(std::string_view name)
{
    const auto found = std::find_if(mixes().begin(), mixes().end(), [&](const Mix& mix) { return mix.name == name; });
    if (found == mixes().end())
        return fail(ErrorCode::BadSettings, "choose mix", std::string(name), "the mixes are ranwala and smokewatch");
    return *found;
}

} // namespace Auburnpost::Load
