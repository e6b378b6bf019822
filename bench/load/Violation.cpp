#include "load/Violation.h"

#include <array>

namespace Auburnpost::Load {

std::string_view toString(Rule rule)
{
    static constexpr std::array<std::string_view, 9> names { "lost_write", "doubled_write", "ran_despite_not_run",
        "read_your_writes", "stale_read", "age_exceeded", "read_before_write", "read_of_not_run", "mixed_answer" };
    return names.at(static_cast<std::size_t>(rule));
}

} // namespace Auburnpost::Load
