#pragma once

#include "base/Random.h"
#include "load/Endpoints.h"

#include <functional>
#include <string>
#include <string_view>

namespace Auburnpost::Load {

/// What a fault strikes.
struct FaultSubject {
    std::string name;
    pid_t pid { 0 };
    /// Where POST /faults goes; unset for a host.
    SocketAddress control;
};

/// One kind of fault: whom it strikes, how it begins and how it is healed.
struct FaultKind {
    enum class Victim { Primary, Host, Platform };

    std::string_view name;
    Victim victim;
    /// Signals sent to the process; 0 for none.
    int beginSignal { 0 };
    int healSignal { 0 };
    /// Body of POST /faults at the begin; empty for none. It is healed by an empty list.
    std::string_view faults;

    /// @return the kind of that name, or ErrorCode::BadSettings with the names there are.
    static Expected<FaultKind> find(std::string_view name);
};

/// @return whom the fault strikes: the primary, the platform, or a host drawn at random.
FaultSubject chooseSubject(const FaultKind&, const Endpoints&, const TargetEndpoint& primary, RandomEngine&);

/// Brings the fault about. @param post sends a body to POST /faults of an address.
void beginFault(
    const FaultKind&, const FaultSubject&, const std::function<void(const SocketAddress&, const std::string&)>& post);
/// Ends the fault, except for a killed process, which the caller starts again.
void healFault(
    const FaultKind&, const FaultSubject&, const std::function<void(const SocketAddress&, const std::string&)>& post);

} // namespace Auburnpost::Load
