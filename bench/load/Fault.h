#pragma once

#include "base/Random.h"
#include "load/Endpoints.h"

#include <functional>
#include <string>
#include <string_view>

namespace Auburnpost::Load {

/// The process that a fault affects.
struct FaultSubject {
    std::string name;
    pid_t pid { 0 };
    /// Address for POST /faults; unset for a host.
    SocketAddress control;
};

/// One kind of fault: the process that it affects, how it is injected and how it is healed.
struct FaultKind {
    enum class SubjectKind { Primary, Host, Platform };

    std::string_view name;
    SubjectKind subjectKind;
    /// Signals sent to the process at the injection and for healing; 0 for none.
    int injectionSignal { 0 };
    int healSignal { 0 };
    /// Body of POST /faults at the injection; empty for none. The fault is healed by an empty list.
    std::string_view faults;

    /// @return the kind called @p name, or ErrorCode::BadSettings with the known names.
    static Expected<FaultKind> find(std::string_view name);
};

/// @return the process that the fault affects: the primary, the platform, or a host drawn at random.
FaultSubject chooseSubject(const FaultKind&, const Endpoints&, const TargetEndpoint& primary, RandomEngine&);

/// Injects the fault. @param post sends a body to POST /faults of an address.
void injectFault(
    const FaultKind&, const FaultSubject&, const std::function<void(const SocketAddress&, const std::string&)>& post);
/// Heals the fault, except for a killed process, which the caller has to restart.
void healFault(
    const FaultKind&, const FaultSubject&, const std::function<void(const SocketAddress&, const std::string&)>& post);

} // namespace Auburnpost::Load
