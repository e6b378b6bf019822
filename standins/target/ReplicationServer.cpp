#include "target/ReplicationServer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Auburnpost::Standin {

namespace {

    using Json = nlohmann::json;

    constexpr auto maxWait = std::chrono::milliseconds(300);
    constexpr std::size_t entriesPerAnswer = 500;

    LogPoint readPoint(const Json& json)
    {
        return { Term(json.at(0).get<std::uint64_t>()), Position(json.at(1).get<std::uint64_t>()) };
    }

    Json pointToJson(const LogPoint& point)
    {
        return { point.term.value(), point.position.value() };
    }

} // namespace

ReplicationServer::ReplicationServer(EventLoop& loop, Target& target)
    : m_loop(loop)
    , m_target(target)
{
    m_target.changed.connect([this] { answerReadyPulls(); });
    m_target.faultsChanged.connect([this] { answerReadyPulls(); });
}

void ReplicationServer::handle(const HttpExchange& exchange)
{
    try {
        WaitingPull waiting { ++m_lastNumber, exchange, readPull(exchange.body()) };
        if (!m_target.faults().isCut(waiting.pull.peer)) {
            m_applied[waiting.pull.peer] = waiting.pull.applied.position.value();
            m_target.recordReplicaProgress(waiting.pull.applied);
        }
        m_waiting.push_back(waiting);
    } catch (const Json::exception& problem) {
        exchange.reply(400, problem.what());
        return;
    }
    m_loop.runAfter(maxWait, [this, number = m_lastNumber] { expire(number); });
    answerReadyPulls();
}

ReplicationServer::Pull ReplicationServer::readPull(const std::string& body)
{
    const Json json = Json::parse(body);
    return { json.at("peer").get<std::string>(), DataCentreName(json.at("data_centre").get<std::string>()),
        readPoint(json.at("after")), readPoint(json.at("applied")) };
}

void ReplicationServer::answerReadyPulls()
{
    std::list<WaitingPull> due;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        const auto current = waiting++;
        if (isReady(current->pull))
            due.splice(due.end(), m_waiting, current);
    }
    for (const WaitingPull& waiting : due)
        answer(waiting);
}

bool ReplicationServer::isReady(const Pull& pull) const
{
    return !m_target.faults().isCut(pull.peer) && m_target.group().role == TargetRole::Primary
        && (!m_target.log().contains(pull.after) || m_target.log().end().position > pull.after.position);
}

void ReplicationServer::answer(const WaitingPull& waiting)
{
    m_loop.runAfter(m_target.settings().delayTo(waiting.pull.dataCentre), [this, waiting] {
        if (m_target.faults().isCut(waiting.pull.peer))
            waiting.exchange.drop();
        else
            waiting.exchange.reply(200, makeAnswer(waiting.pull));
    });
}

void ReplicationServer::expire(std::uint64_t number)
{
    const auto found = std::find_if(
        m_waiting.begin(), m_waiting.end(), [number](const WaitingPull& waiting) { return waiting.number == number; });
    if (found == m_waiting.end())
        return;
    const WaitingPull waiting = *found;
    m_waiting.erase(found);
    answer(waiting);
}

std::string ReplicationServer::makeAnswer(const Pull& pull) const
{
    const GroupLog& log = m_target.log();
    if (m_target.group().role != TargetRole::Primary)
        return Json { { "leading", 0 } }.dump();
    Json json { { "leading", m_target.group().leadingTerm.value() }, { "end", pointToJson(log.end()) },
        { "match", log.contains(pull.after) }, { "entries", Json::array() }, { "term_starts", Json::array() } };
    if (!log.contains(pull.after)) {
        for (const LogPoint& start : log.termStarts())
            json["term_starts"].push_back(pointToJson(start));
        return json.dump();
    }
    const auto& entries = log.entries();
    const std::size_t first = pull.after.position.value();
    const std::size_t last = std::min(entries.size(), first + entriesPerAnswer);
    for (std::size_t index = first; index < last; ++index)
        json["entries"].push_back(entries[index].toJson());
    return json.dump();
}

} // namespace Auburnpost::Standin
