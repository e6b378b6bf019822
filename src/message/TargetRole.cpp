#include "message/TargetRole.h"

namespace Auburnpost {

std::string_view toString(TargetRole role)
{
    switch (role) {
    case TargetRole::Replica:
        return "replica";
    case TargetRole::Primary:
        return "primary";
    case TargetRole::Fenced:
        return "fenced";
    }
    return "fenced";
}

} // namespace Auburnpost
