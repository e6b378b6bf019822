#include "route/TransactionHandle.h"

namespace Auburnpost::Route {

OutcomeKey TransactionHandle::outcomeKey() const
{
    return OutcomeKey("t:" + home.value() + "#" + std::to_string(incarnation.value()) + ":" + std::to_string(number));
}

} // namespace Auburnpost::Route
