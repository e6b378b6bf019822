// The callers of the simulated site: their requests, retries and checks.
#include "engine/SiteSimulation.h"

namespace Auburnpost {

using namespace std::chrono_literals;

namespace {

    constexpr int maxAttempts = 4;
    constexpr Duration balancerInterval = 1s;

} // namespace

void SiteSimulation::checkReadiness()
{
    // A killed host stays listed, so that callers also meet refused connections.
    m_ready.clear();
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const auto& node = m_hosts[host];
        if (!node.exitStatus && (!node.engine || node.engine->isReady()))
            m_ready.push_back(host);
    }
    m_queue.after(balancerInterval, [this] { checkReadiness(); });
}

std::size_t SiteSimulation::chooseHost()
{
    const auto count = m_ready.empty() ? m_hosts.size() : m_ready.size();
    const auto index = std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    return m_ready.empty() ? index : m_ready[index];
}

void SiteSimulation::scheduleNextJob(std::size_t caller)
{
    m_queue.after(m_network.between(10ms, 120ms), [this, caller] {
        if (m_callersActive)
            startJob(caller);
    });
}

void SiteSimulation::startJob(std::size_t caller)
{
    auto job = std::make_shared<Job>();
    job->caller = caller;
    job->request.organisation = OrganisationName("kandy-tailors");
    job->request.key = "a key for the tests";
    job->request.database = DatabaseName("sizing-core-1");
    job->request.timeout = 3s;
    const auto kind = std::uniform_int_distribution<int>(0, 3)(m_random);
    job->isWrite = kind <= 1;
    job->isKeyed = kind == 0;
    if (job->isWrite) {
        job->fact = std::to_string(++m_lastFact);
        job->request.access = Access::Write;
        job->request.statement = { "INSERT INTO facts VALUES ($1)", { job->fact } };
        job->request.idempotencyKey = job->isKeyed ? "key-" + job->fact : "";
        job->attemptsLeft = job->isKeyed ? maxAttempts : 1;
    } else {
        job->request.statement = { "SELECT id FROM facts", {} };
        job->request.maxAge = kind == 2 ? Duration(10s) : Duration(0);
        job->attemptsLeft = maxAttempts;
        if (kind == 2)
            job->requiredFacts = m_callers[caller].ownFacts;
        else
            job->requiredFacts.assign(m_checker.acknowledged().begin(), m_checker.acknowledged().end());
    }
    sendJob(job);
}

void SiteSimulation::sendJob(const JobPointer& job)
{
    job->host = m_onlyHost.value_or(chooseHost());
    --job->attemptsLeft;
    const auto& node = m_hosts[job->host];
    if (!node.engine || node.exitStatus) {
        // The load balancer's connection is refused, so nothing was sent.
        m_queue.after(1ms, [this, job] { handleJobFailure(job, false); });
        return;
    }
    auto request = job->request;
    request.id = RequestId(++m_lastRequest);
    request.session = m_callers[job->caller].session;
    const auto entry = std::pair(job->host, request.id);
    m_jobs[entry] = job;
    onHost(job->host, 1ms, [this, host = job->host, request] { post(host, request); });
    m_queue.after(6s, [this, entry] {
        // The caller's own timeout: it closes the connection.
        const auto expired = m_jobs.extract(entry);
        if (expired)
            handleJobFailure(expired.mapped(), true);
    });
}

void SiteSimulation::perform(std::size_t host, const CallerAnswer& answer)
{
    const auto found = m_jobs.extract({ host, answer.id });
    if (found)
        m_queue.after(1ms, [this, job = found.mapped(), answer] { handleJobAnswer(job, answer); });
}

void SiteSimulation::handleJobAnswer(const JobPointer& job, const CallerAnswer& answer)
{
    auto& caller = m_callers[job->caller];
    if (!answer.session.empty())
        caller.session = answer.session;
    if (const auto* refusal = std::get_if<Refusal>(&answer.body)) {
        handleJobFailure(job, refusal->outcome == FailedOutcome::Unknown);
        return;
    }
    if (job->isWrite) {
        m_checker.recordOutcome(job->fact, SiteChecker::ReportedOutcome::Acknowledged);
        caller.ownFacts.push_back(job->fact);
    } else {
        std::vector<std::string> seen;
        for (const auto& row : std::get<ResultSet>(answer.body).rows)
            seen.push_back(row[0].value_or(""));
        m_checker.checkRead("read by " + answer.servedBy, job->requiredFacts, seen);
    }
    scheduleNextJob(job->caller);
}

void SiteSimulation::handleJobFailure(const JobPointer& job, bool unknown)
{
    job->wasEverUnknown = job->wasEverUnknown || unknown;
    if (job->attemptsLeft > 0) {
        m_queue.after(m_network.between(5ms, 100ms), [this, job] { sendJob(job); });
        return;
    }
    if (job->isWrite)
        m_checker.recordOutcome(job->fact,
            job->wasEverUnknown ? SiteChecker::ReportedOutcome::Unknown : SiteChecker::ReportedOutcome::NotRun);
    scheduleNextJob(job->caller);
}

} // namespace Auburnpost
