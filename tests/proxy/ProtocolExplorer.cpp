#include "proxy/ProtocolExplorer.h"

#include <algorithm>
#include <unordered_set>

namespace Auburnpost::Proxy {

namespace {

    using Clock = std::chrono::steady_clock;

    /// Share of steps in random schedules that are the default.
    constexpr double defaultShare = 0.8;

    std::chrono::milliseconds since(Clock::time_point start)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
    }

} // namespace

void ExplorationResult::add(ProtocolModel::Check check, const ModelSchedule& schedule)
{
    auto& finding = findings[static_cast<std::size_t>(check)];
    if (finding.count == 0 || schedule.size() < finding.schedule.size())
        finding.schedule = schedule;
    ++finding.count;
}

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
    for (const auto& schedule : frontier) {
        if (since(start) >= m_maxDuration)
            break;
        ProtocolModel model(m_scenario);
        replay(model, schedule);
        model.recover();
        ++result.recoveries;
        if (model.failedCheck() != ProtocolModel::Check::None)
            result.add(model.failedCheck(), schedule);
    }
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
    for (const auto& choice : choices) {
        if (!model) {
            model = std::make_unique<ProtocolModel>(m_scenario);
            replay(*model, schedule);
        }
        model->apply(choice);
        const bool isNew = seen.insert(model->fingerprint()).second;
        auto longer = schedule;
        longer.push_back(choice);
        if (isNew && model->failedCheck() != ProtocolModel::Check::None)
            result.add(model->failedCheck(), longer);
        else if (isNew)
            next.push_back(std::move(longer));
        model.reset();
    }
}

ExplorationResult ProtocolExplorer::playRandom(std::size_t schedules, std::size_t steps, std::uint64_t seed) const
{
    const auto start = Clock::now();
    ExplorationResult result;
    for (std::size_t number = 0; number < schedules && since(start) < m_maxDuration; ++number) {
        RandomEngine random(seed + number);
        ProtocolModel model(m_scenario);
        ModelSchedule schedule;
        while (schedule.size() < steps && model.failedCheck() == ProtocolModel::Check::None) {
            const auto choices = model.choices();
            const bool isDefault = choices.size() == 1 || std::bernoulli_distribution(defaultShare)(random);
            const auto other = isDefault ? 0 : 1 + random() % (choices.size() - 1);
            schedule.push_back(choices[other]);
            model.apply(schedule.back());
        }
        if (model.failedCheck() == ProtocolModel::Check::None)
            model.recover();
        ++result.recoveries;
        ++result.states;
        if (model.failedCheck() != ProtocolModel::Check::None)
            result.add(model.failedCheck(), schedule);
    }
    result.duration = since(start);
    return result;
}

std::string ProtocolExplorer::describe(const ModelSchedule& schedule) const
{
    ProtocolModel model(m_scenario, true);
    replay(model, schedule);
    if (model.failedCheck() == ProtocolModel::Check::None)
        model.recover();
    std::string text;
    for (const auto& line : model.trace())
        text += "    " + line + "\n";
    return text;
}

} // namespace Auburnpost::Proxy
