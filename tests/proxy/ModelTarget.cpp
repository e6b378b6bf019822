#include "proxy/ModelTarget.h"

#include <algorithm>

namespace Auburnpost::Proxy {

ModelTarget::ModelTarget(std::size_t targetIndex)
    : index(targetIndex)
{
}

TargetName ModelTarget::name() const
{
    return TargetName("t" + std::to_string(index) + (restarts == 0 ? "" : "-" + std::to_string(restarts)));
}

TargetRecord ModelTarget::record() const
{
    TargetRecord result;
    result.name = name();
    result.group = GroupName("group");
    result.address = { "10.0.0.1", static_cast<std::uint16_t>(index + 1) };
    result.isLeaving = isLeaving;
    result.reportsPrimary = isPrimary;
    result.incarnation = TargetIncarnation(restarts + 1);
    return result;
}

LogPoint ModelTarget::logEnd() const
{
    const LogPoint start { term, Position(0) };
    return log.empty() ? start : std::max(log.back().point, start);
}

TargetStatus ModelTarget::status() const
{
    TargetStatus result;
    result.isPrimary = isPrimary;
    result.term = term;
    result.received = logEnd();
    result.fencedTerm = fencedTerm;
    return result;
}

bool ModelTarget::holds(std::size_t commitId) const
{
    return std::any_of(log.begin(), log.end(), [commitId](const auto& commit) { return commit.id == commitId; });
}

bool ModelTarget::canFollow(const ModelTarget& primary) const
{
    return isRunning && !isPrimary && fencedTerm == Term {} && primary.isRunning && primary.isPrimary
        && primary.term >= term;
}

void ModelTarget::follow(const ModelTarget& primary)
{
    term = primary.term;
    log = primary.log;
}

void ModelTarget::append(std::size_t commitId)
{
    const auto isFirst = log.empty() || log.back().point.term != term;
    log.push_back({ { term, Position(isFirst ? 1 : log.back().point.position.value() + 1) }, commitId });
}

void ModelTarget::becomePrimary(Term newTerm)
{
    isPrimary = true;
    term = newTerm;
    fencedTerm = {};
    newerPrimaryTicks = 0;
}

void ModelTarget::crash()
{
    isRunning = false;
    fencedTerm = {};
    newerPrimaryTicks = 0;
}

void ModelTarget::leave()
{
    crash();
    hasLeft = true;
    isPrimary = false;
    log.clear();
}

void ModelTarget::restart()
{
    isRunning = true;
    ++restarts;
}

void ModelTarget::execute(const TargetRequest& request)
{
    if (const auto* const fence = std::get_if<FenceReplica>(&request)) {
        if (!isPrimary)
            fencedTerm = fence->term;
    } else if (std::holds_alternative<ResumeReplica>(request)) {
        fencedTerm = {};
    } else if (const auto* const demote = std::get_if<DemotePrimary>(&request)) {
        if (isPrimary && demote->term > term)
            isPrimary = false;
    }
}

void ModelTarget::addTo(Fingerprint& fingerprint) const
{
    fingerprint.add(restarts);
    fingerprint.add((isRunning ? 1U : 0U) | (hasLeft ? 2U : 0U) | (isPrimary ? 4U : 0U) | (isLeaving ? 8U : 0U));
    fingerprint.add(leavingTicks);
    fingerprint.add(term.value());
    fingerprint.add(fencedTerm.value());
    fingerprint.add(newerPrimaryTicks);
    fingerprint.add(log.size());
    for (const auto& commit : log) {
        fingerprint.add(commit.id);
        fingerprint.add(commit.point.term.value());
    }
}

} // namespace Auburnpost::Proxy
