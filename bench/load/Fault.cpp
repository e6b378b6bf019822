#include "load/Fault.h"

#include <array>
#include <csignal>

namespace Auburnpost::Load {

namespace {

    using SubjectKind = FaultKind::SubjectKind;

    constexpr std::array kinds {
        FaultKind { "kill", SubjectKind::Primary, SIGKILL, 0, "" },
        FaultKind { "freeze", SubjectKind::Primary, SIGSTOP, SIGCONT, "" },
        FaultKind { "cut", SubjectKind::Primary, 0, 0, R"([{"kind":"cut","peers":["*"]}])" },
        FaultKind { "store_outage", SubjectKind::Platform, 0, 0, R"([{"kind":"outage"}])" },
        FaultKind { "host_kill", SubjectKind::Host, SIGKILL, 0, "" },
        FaultKind { "host_freeze", SubjectKind::Host, SIGSTOP, SIGCONT, "" },
    };

} // namespace

Expected<FaultKind> FaultKind::find(std::string_view name)
{
    std::string names;
    for (const auto& kind : kinds) {
        if (kind.name == name)
            return kind;
        names += " " + std::string(kind.name);
    }
    return fail(ErrorCode::BadSettings, "choose fault", std::string(name), "the faults are" + names);
}

FaultSubject chooseSubject(
    const FaultKind& kind, const Endpoints& endpoints, const TargetEndpoint& primary, RandomEngine& random)
{
    if (kind.subjectKind == SubjectKind::Primary)
        return { primary.name.value(), primary.pid, primary.control };
    if (kind.subjectKind == SubjectKind::Platform)
        return { "platform", endpoints.platform.pid, endpoints.platform.control };
    std::uniform_int_distribution<std::size_t> draw(0, endpoints.hosts.size() - 1);
    const auto& host = endpoints.hosts[draw(random)];
    return { host.name.value(), host.pid, {} };
}

void injectFault(const FaultKind& kind, const FaultSubject& subject,
    const std::function<void(const SocketAddress&, const std::string&)>& post)
{
    if (kind.injectionSignal)
        kill(subject.pid, kind.injectionSignal);
    if (!kind.faults.empty())
        post(subject.control, std::string(kind.faults));
}

void healFault(const FaultKind& kind, const FaultSubject& subject,
    const std::function<void(const SocketAddress&, const std::string&)>& post)
{
    if (kind.healSignal)
        kill(subject.pid, kind.healSignal);
    if (!kind.faults.empty())
        post(subject.control, "[]");
}

} // namespace Auburnpost::Load
