#include "config/ConfigSimulation.h"

#include "config/DocumentRow.h"
#include "config/Json.h"

#include <algorithm>

using namespace Auburnpost;
using namespace Auburnpost::Config;
using namespace std::chrono_literals;

namespace {

constexpr auto editingEnds = 20s;
constexpr auto runEnds = 90s;
constexpr auto gossipInterval = 200ms;
constexpr int maxOperatorAttempts = 4;

HostName hostName(std::size_t host)
{
    return HostName("host-" + std::to_string(host));
}

/// @return a section whose text identifies the edit and that is valid with any other sections.
std::string sectionText(const std::string& section, std::size_t plan)
{
    const auto number = std::to_string(plan + 1);
    if (section == "placement")
        return R"({"databases":{"db-)" + number + R"(":{"targets":[{"name":"t","address":"127.0.0.1:5001",)"
            + R"("data_centre":"d"}],"connection_cap":50,"slots":3}}})";
    if (section == "organisations")
        return R"({"organisation-)" + number + R"(":{"databases":[],"keys":[]}})";
    return R"({"default_ms":)" + number + "}";
}

Json lastEdit(const Json& row)
{
    return row.at("history").at("edits").back();
}

} // namespace

ConfigSimulation::ConfigSimulation(Plan plan)
    : m_plan(std::move(plan))
    , m_random(m_plan.seed)
{
}

std::vector<std::string> ConfigSimulation::run()
{
    for (std::size_t host = 0; host < hostCount; ++host)
        startHost(host);
    schedule(m_now + gossipInterval, [this] { gossip(); });
    for (std::size_t plan = 0; plan < m_plan.edits.size(); ++plan)
        schedule(m_now + m_plan.edits[plan].at,
            [this, plan] { beginAttempt(plan, m_plan.edits[plan].host, maxOperatorAttempts); });
    for (const auto& restart : m_plan.restarts)
        schedule(m_now + restart.at, [this, restart] { startHost(restart.host); });
    const auto end = m_now + runEnds;
    while (m_now < end) {
        m_now = std::max(m_now, std::min(m_events.begin()->first, nextTimer()));
        while (m_events.begin()->first <= m_now) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        runTimers();
    }
    checkEdits();
    checkHistory();
    return m_violations;
}

void ConfigSimulation::schedule(Instant time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

bool ConfigSimulation::chance(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(m_random) < percent;
}

/// @return a random delay, mostly short and sometimes longer than the timeout of a call.
Duration ConfigSimulation::randomDelay()
{
    const int longest = chance(10) ? 3000 : 20;
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(1, longest)(m_random));
}

void ConfigSimulation::startHost(std::size_t host)
{
    auto& state = m_hosts[host];
    for (auto& attempt : m_attempts) {
        if (attempt.host != host || attempt.isClosed)
            continue;
        attempt.isClosed = true;
        const auto plan = attempt.plan;
        schedule(
            m_now + 1s, [this, plan, host] { beginAttempt(plan, (host + 1) % hostCount, m_attemptsLeft[plan] - 1); });
    }
    const auto others = std::count_if(m_hosts.begin(), m_hosts.end(),
        [&state](const Host& other) { return &other != &state && other.store.version() >= state.store.version(); });
    state.versionBeforeRestart = others > 0 ? state.store.version() : ConfigVersion(0);
    ++state.incarnation;
    state.store = DocumentStore();
    state.poll
        = std::make_unique<DocumentPoll>(state.store, PollTimings {}, [this] { return PlatformCallId(++m_lastCall); });
    perform(host, state.poll->start(m_now));
}

void ConfigSimulation::gossip()
{
    for (std::size_t from = 0; from < hostCount; ++from) {
        for (std::size_t to = 0; to < hostCount; ++to) {
            const auto version = m_hosts[from].store.version();
            if (from != to)
                schedule(m_now + 1ms,
                    [=, this] { perform(to, m_hosts[to].poll->onPeerVersion(m_now, hostName(from), version)); });
        }
    }
    schedule(m_now + gossipInterval, [this] { gossip(); });
}

void ConfigSimulation::perform(std::size_t host, std::vector<PollAction> actions)
{
    for (const auto& action : actions) {
        if (const auto* call = std::get_if<PlatformCall>(&action)) {
            send(*call, [this, host, incarnation = m_hosts[host].incarnation](const PlatformAnswer& answer) {
                if (m_hosts[host].incarnation == incarnation)
                    perform(host, m_hosts[host].poll->onPlatformAnswer(m_now, m_random, answer));
            });
        } else if (const auto* peerRequest = std::get_if<RequestPeerDocument>(&action)) {
            requestFromPeer(host, *peerRequest);
        } else if (const auto* installed = std::get_if<DocumentInstalled>(&action)) {
            checkInstalled(host, installed->version);
        } else if (std::get<LogRecord>(action).event == LogEvent::ConfigurationRejected) {
            reportViolation("a host rejected an accepted document");
        }
    }
}

void ConfigSimulation::requestFromPeer(std::size_t host, const RequestPeerDocument& peerRequest)
{
    std::size_t peer = 0;
    while (hostName(peer) != peerRequest.peer)
        ++peer;
    schedule(m_now + 1ms, [=, this, incarnation = m_hosts[host].incarnation] {
        const auto& store = m_hosts[peer].store;
        schedule(m_now + 1ms, [=, this, version = store.version(), bytes = store.bytes()] {
            if (m_hosts[host].incarnation == incarnation)
                perform(host, m_hosts[host].poll->onPeerDocument(m_now, hostName(peer), version, bytes));
        });
    });
}

void ConfigSimulation::checkInstalled(std::size_t host, ConfigVersion version)
{
    const auto& state = m_hosts[host];
    if (version < state.versionBeforeRestart)
        reportViolation(
            hostName(host).value() + " reverted to version " + std::to_string(version.value()) + " after a restart");
    if (version.value() >= m_rows.size() || m_rows[version.value()].bytes != state.store.bytes())
        reportViolation(hostName(host).value() + " installed a document that the row never contained");
}

void ConfigSimulation::send(const PlatformCall& call, Deliver deliver)
{
    const auto sinceStart = m_now.time_since_epoch();
    const bool isOutage = sinceStart >= m_plan.outageAt && sinceStart < m_plan.outageAt + m_plan.outageLength;
    const auto timeout = m_now + call.timeout;
    const auto failAtTimeout = [this, timeout, id = call.id, deliver] {
        schedule(timeout, [id, deliver] {
            deliver({ id, fail(ErrorCode::PlatformUnavailable, "call", "platform", "") });
        });
    };
    const bool takesEffect = isOutage ? chance(20) : !chance(m_plan.lossPercent);
    const bool isAnswered = !isOutage && !chance(m_plan.lossPercent);
    if (!takesEffect)
        return failAtTimeout();
    schedule(m_now + randomDelay(), [=, this] {
        const auto reply = execute(call);
        const auto arrival = m_now + randomDelay();
        if (!isAnswered || arrival >= timeout)
            return schedule(std::max(m_now, timeout), [=] {
                deliver({ call.id, fail(ErrorCode::PlatformUnavailable, "call", "platform", "") });
            });
        schedule(arrival, [=] { deliver({ call.id, reply }); });
    });
}

PlatformReply ConfigSimulation::execute(const PlatformCall& call)
{
    const auto version = m_rows.size() - 1;
    if (call.method == PlatformMethod::Put) {
        if (call.expectedVersion && *call.expectedVersion != version)
            return { 412, "", version };
        m_rows.push_back({ call.body });
        return { 200, "", version + 1 };
    }
    if (call.path == documentTablePath) {
        const auto row = Json { { "row", documentRowName }, { "version", version } };
        return { 200, Json { { "rows", version > 0 ? Json::array({ row }) : Json::array() } }.dump(), {} };
    }
    if (version == 0)
        return { 404, "", {} };
    return { 200, m_rows.back().bytes, version };
}

void ConfigSimulation::beginAttempt(std::size_t plan, std::size_t host, int attemptsLeft)
{
    const auto& planned = m_plan.edits[plan];
    if (attemptsLeft == 0)
        return;
    m_attemptsLeft[plan] = attemptsLeft;
    if (!m_bases.contains(plan) && planned.isBased)
        m_bases[plan] = m_hosts[host].store.version();
    EditRequest request { editId(plan), planned.section, sectionText(planned.section, plan), m_bases[plan] };
    m_attempts.push_back({ plan, host, m_hosts[host].incarnation,
        SectionEdit(std::move(request), EditLimits {}, [this] { return PlatformCallId(++m_lastCall); }) });
    advanceAttempt(m_attempts.size() - 1, m_attempts.back().edit.start(m_now));
}

void ConfigSimulation::advanceAttempt(std::size_t index, const std::vector<PlatformCall>& calls)
{
    for (const auto& call : calls) {
        send(call, [this, index](const PlatformAnswer& answer) {
            auto& attempt = m_attempts[index];
            if (!attempt.isClosed)
                advanceAttempt(index, attempt.edit.onAnswer(m_now, m_random, answer));
        });
    }
    if (m_attempts[index].edit.outcome() && !m_attempts[index].isClosed)
        closeAttempt(index);
}

void ConfigSimulation::closeAttempt(std::size_t index)
{
    auto& attempt = m_attempts[index];
    attempt.isClosed = true;
    const auto& outcome = *attempt.edit.outcome();
    m_outcomes[attempt.plan].push_back(outcome);
    if (const auto* accepted = std::get_if<EditAccepted>(&outcome)) {
        ++m_accepted;
        auto& poll = *m_hosts[attempt.host].poll;
        perform(attempt.host, poll.onEditAccepted(m_now, accepted->rowVersion, accepted->rowBytes));
    }
    const auto* const failed = std::get_if<EditFailed>(&outcome);
    if (failed && failed->outcome == FailedOutcome::Unknown)
        schedule(m_now + 500ms, [this, plan = attempt.plan, host = attempt.host] {
            beginAttempt(plan, (host + 1) % hostCount, m_attemptsLeft[plan] - 1);
        });
}

void ConfigSimulation::runTimers()
{
    for (std::size_t host = 0; host < hostCount; ++host) {
        if (m_hosts[host].poll->nextTimer() <= m_now)
            perform(host, m_hosts[host].poll->onTimer(m_now, m_random));
    }
    for (std::size_t index = 0; index < m_attempts.size(); ++index) {
        auto& attempt = m_attempts[index];
        if (!attempt.isClosed && attempt.edit.nextTimer() <= m_now)
            advanceAttempt(index, attempt.edit.onTimer(m_now));
    }
}

Instant ConfigSimulation::nextTimer() const
{
    auto next = Instant::max();
    for (const auto& host : m_hosts)
        next = std::min(next, host.poll->nextTimer());
    for (const auto& attempt : m_attempts) {
        if (!attempt.isClosed)
            next = std::min(next, attempt.edit.nextTimer().value_or(Instant::max()));
    }
    return next;
}

std::vector<std::uint64_t> ConfigSimulation::versionsMadeBy(const std::string& id) const
{
    std::vector<std::uint64_t> versions;
    for (std::size_t version = 1; version < m_rows.size(); ++version) {
        if (lastEdit(Json::parse(m_rows[version].bytes)).at("id") == id)
            versions.push_back(version);
    }
    return versions;
}

/// Checks the outcomes reported to operators against the edit history: accepted edits occur in it once, refused ones
/// never.
void ConfigSimulation::checkEdits()
{
    for (std::size_t plan = 0; plan < m_plan.edits.size(); ++plan) {
        const auto versions = versionsMadeBy(editId(plan));
        if (versions.size() > 1)
            reportViolation(editId(plan) + " is in the history twice");
        // An attempt that wrote nothing does not show whether an earlier attempt took effect.
        const bool isRepeated = m_attemptsLeft[plan] < maxOperatorAttempts;
        for (const auto& outcome : m_outcomes[plan]) {
            const auto* const accepted = std::get_if<EditAccepted>(&outcome);
            if (accepted && (versions.empty() || versions.front() != accepted->version.value()))
                reportViolation(editId(plan) + " was accepted but is not in the history with its version");
            const auto* const failed = std::get_if<EditFailed>(&outcome);
            const bool isNotRun = failed && failed->outcome == FailedOutcome::NotRun && !isRepeated;
            if ((isNotRun || std::holds_alternative<EditConflict>(outcome)) && !versions.empty())
                reportViolation(editId(plan) + " was refused but is in the history");
        }
    }
    for (std::size_t host = 0; host < hostCount; ++host) {
        if (m_hosts[host].store.version().value() + 1 != m_rows.size())
            reportViolation(hostName(host).value() + " does not have the last version in force");
    }
}

/// Checks that each version changes only the section of its edit, and that this section had not changed since the
/// edit's base version.
void ConfigSimulation::checkHistory()
{
    std::map<std::string, std::uint64_t> changedAt;
    Json before = Json::object();
    for (std::size_t version = 1; version < m_rows.size(); ++version) {
        const auto row = Json::parse(m_rows[version].bytes);
        const auto edit = lastEdit(row);
        const auto section = edit.at("section").get<std::string>();
        const auto plan = std::stoul(edit.at("id").get<std::string>().substr(std::string("edit-").size()));
        before[section] = Json::parse(sectionText(section, plan));
        if (nlohmann::json(row.at("sections")) != nlohmann::json(before))
            reportViolation("version " + std::to_string(version) + " reverts or changes another section");
        const auto base = m_bases[plan];
        if (base && changedAt[section] > base->value())
            reportViolation(edit.at("id").get<std::string>() + " overwrote a change that its operator had not seen");
        changedAt[section] = version;
        before = row.at("sections");
    }
}
