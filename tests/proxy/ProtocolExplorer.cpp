#include "proxy/ProtocolExplorer.h"

#include <algorithm>
#include <unordered_set>

namespace Auburnpost::Proxy {

namespace {

    using Clock = std::chrono::steady_clock;

    /// Share of steps in random schedules that are the default.
    constexpr double defaultShare = 0.8;
    /// Limit of the states without a further step within the depth whose recovery is played.
    constexpr std::size_t maxFinalRecoveries = 1000;
    /// The recovery is played for one of this many states whose next steps are all known.
    constexpr std::size_t recoverySample = 8;

    std::chrono::milliseconds since(Clock::time_point start)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
    }

} // namespace

ProtocolExplorer::ProtocolExplorer(ModelScenario scenario, std::size_t maxStates, std::chrono::seconds maxDuration)
    : m_scenario(std::move(scenario))
    , m_maxStates(maxStates)
    , m_maxDuration(maxDuration)
{
}

void ProtocolExplorer::replay(ProtocolModel& model, const ModelSchedule& schedule)
{
    for (const auto& choice : schedule)
        model.apply(choice);
}

ExplorationResult ProtocolExplorer::explore() const
{
    const auto start = Clock::now();
    ExplorationResult result;
    std::unordered_set<std::uint64_t> seen;
    std::vector<ModelSchedule> frontier { {} };
    const auto isOver = [&] { return seen.size() >= m_maxStates || since(start) >= m_maxDuration; };
    for (std::size_t depth = 0; depth < m_scenario.depth && !frontier.empty() && !isOver(); ++depth) {
        std::vector<ModelSchedule> next;
        for (const auto& schedule : frontier) {
            if (isOver())
                break;
            expand(schedule, seen, next, result);
        }
        if (!isOver())
            result.completeDepth = depth + 1;
        frontier = std::move(next);
    }
    const auto stride = frontier.size() / maxFinalRecoveries + 1;
    for (std::size_t index = 0; index < frontier.size(); index += stride)
        checkRecovery(frontier[index], result);
    result.states = seen.size();
    result.duration = since(start);
    return result;
}

void ProtocolExplorer::expand(const ModelSchedule& schedule, std::unordered_set<std::uint64_t>& seen,
    std::vector<ModelSchedule>& next, ExplorationResult& result) const
{
    auto model = std::make_unique<ProtocolModel>(m_scenario);
    replay(*model, schedule);
    const auto choices = model->choices();
    const auto failedBefore = model->failedChecks();
    const auto before = seen.size();
    for (const auto& choice : choices) {
        if (!model) {
            model = std::make_unique<ProtocolModel>(m_scenario);
            replay(*model, schedule);
        }
        model->apply(choice);
        const bool isNew = seen.insert(model->fingerprint()).second;
        auto longer = schedule;
        longer.push_back(choice);
        if (isNew)
            result.add(model->failedChecks() & ~failedBefore, longer, false);
        if (isNew && !model->isOver())
            next.push_back(std::move(longer));
        model.reset();
    }
    const bool isClosed = seen.size() == before;
    result.closed += isClosed ? 1 : 0;
    if (isClosed && result.closed % recoverySample == 1)
        checkRecovery(schedule, result);
}

void ProtocolExplorer::checkRecovery(const ModelSchedule& schedule, ExplorationResult& result) const
{
    if (!m_scenario.playsRecovery)
        return;
    ProtocolModel model(m_scenario);
    replay(model, schedule);
    const auto failedBefore = model.failedChecks();
    model.recover();
    ++result.recoveries;
    result.add(model.failedChecks() & ~failedBefore, schedule, true);
}

ExplorationResult ProtocolExplorer::playRandom(std::size_t schedules, std::size_t steps, std::uint64_t seed) const
{
    const auto start = Clock::now();
    ExplorationResult result;
    for (std::size_t number = 0; number < schedules && since(start) < m_maxDuration; ++number) {
        RandomEngine random(seed + number);
        ProtocolModel model(m_scenario);
        ModelSchedule schedule;
        while (schedule.size() < steps && !model.isOver()) {
            const auto choices = model.choices();
            const bool isDefault = choices.size() == 1 || std::bernoulli_distribution(defaultShare)(random);
            const auto other = isDefault ? 0 : 1 + random() % (choices.size() - 1);
            schedule.push_back(choices[other]);
            model.apply(schedule.back());
        }
        ++result.states;
        const auto failed = model.failedChecks();
        result.add(failed, schedule, false);
        if (model.isOver())
            continue;
        model.recover();
        ++result.recoveries;
        result.add(model.failedChecks() & ~failed, schedule, true);
    }
    result.duration = since(start);
    return result;
}

std::string ProtocolExplorer::describe(const ModelSchedule& schedule) const
{
    ProtocolModel model(m_scenario, true);
    replay(model, schedule);
    if (!model.isOver())
        model.recover();
    std::string text;
    for (const auto& line : model.trace())
        text += "    " + line + "\n";
    return text;
}

} // namespace Auburnpost::Proxy
