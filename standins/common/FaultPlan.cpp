#include "common/FaultPlan.h"

#include <map>
#include <nlohmann/json.hpp>

namespace Auburnpost::Standin {

namespace {

    using Json = nlohmann::json;
    using Reader = void (*)(FaultPlan&, const Json&);

    Duration readMilliseconds(const Json& fault)
    {
        const double value = fault.at("ms").get<double>();
        if (value < 0)
            throw std::invalid_argument("ms must not be negative");
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
    }

    double readShare(const Json& fault)
    {
        const double share = fault.at("share").get<double>();
        if (share < 0 || share > 1)
            throw std::invalid_argument("share must be from 0 to 1");
        return share;
    }

    CrashPoint readCrashPoint(const Json& fault)
    {
        static const std::map<std::string, CrashPoint> points { { "before_commit", CrashPoint::BeforeCommit },
            { "after_commit", CrashPoint::AfterCommit }, { "after_ship", CrashPoint::AfterShip } };
        const auto found = points.find(fault.at("at").get<std::string>());
        if (found == points.end())
            throw std::invalid_argument("at must be before_commit, after_commit or after_ship");
        return found->second;
    }

    const std::map<std::string, Reader>& readers()
    {
        static const std::map<std::string, Reader> table {
            { "lag", [](FaultPlan& plan, const Json& fault) { plan.lag = readMilliseconds(fault); } },
            { "cut",
                [](FaultPlan& plan, const Json& fault) {
                    const auto peers = fault.at("peers").get<std::set<std::string>>();
                    plan.cut.insert(peers.begin(), peers.end());
                } },
            { "outage", [](FaultPlan& plan, const Json&) { plan.outage = true; } },
            { "slow", [](FaultPlan& plan, const Json& fault) { plan.slow = readMilliseconds(fault); } },
            { "lose_answers", [](FaultPlan& plan, const Json& fault) { plan.loseAnswers = readShare(fault); } },
            { "crash", [](FaultPlan& plan, const Json& fault) { plan.crash = readCrashPoint(fault); } },
        };
        return table;
    }

} // namespace

Expected<FaultPlan> FaultPlan::parse(std::string_view json)
{
    FaultPlan plan;
    try {
        const Json list = Json::parse(json);
        if (!list.is_array())
            throw std::invalid_argument("the faults must be a list");
        for (const Json& fault : list) {
            const auto kind = fault.at("kind").get<std::string>();
            const auto found = readers().find(kind);
            if (found == readers().end())
                throw std::invalid_argument("unknown kind " + kind);
            found->second(plan, fault);
        }
    } catch (const std::exception& problem) {
        return fail(ErrorCode::BadRequest, "read faults", "", problem.what());
    }
    return plan;
}

} // namespace Auburnpost::Standin
