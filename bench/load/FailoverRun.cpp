#include "load/FailoverRun.h"

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Auburnpost::Load {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration pollInterval = milliseconds(20);
    constexpr Duration controlTimeout = seconds(2);
    constexpr Duration warmUpLimit = seconds(20);
    constexpr std::uint64_t warmUpWrites = 100;
    constexpr Duration recoveryLimit = seconds(30);
    /// Time during which the probe continues after the first acknowledgement and after healing.
    constexpr Duration observationTime = seconds(1);
    constexpr Duration pendingAnswersLimit = seconds(5);

    OrganisationAccess findOrganisation(const FailoverRun::Settings& settings)
    {
        for (const auto& organisation : settings.endpoints.organisations) {
            const auto& databases = organisation.databases;
            if (std::find(databases.begin(), databases.end(), settings.database) != databases.end())
                return { organisation.name, organisation.key, { settings.database } };
        }
        return {};
    }

    FailoverProbe::Settings probeSettings(const FailoverRun::Settings& settings)
    {
        FailoverProbe::Settings probe;
        probe.hosts = settings.endpoints.hosts;
        probe.organisation = findOrganisation(settings);
        probe.database = settings.database;
        probe.run = settings.run;
        return probe;
    }

} // namespace

FailoverRun::FailoverRun(Standin::EventLoop& loop, Settings settings, RandomEngine& random)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_control(loop.base(), controlTimeout)
    , m_setup(loop, m_settings.endpoints.hosts, m_settings.run)
    , m_probe(loop, probeSettings(m_settings), random)
    , m_observer(loop, m_settings.endpoints, m_settings.database)
{
}

Expected<std::string> FailoverRun::measure()
{
    const auto organisation = findOrganisation(m_settings);
    if (organisation.databases.empty())
        return fail(ErrorCode::BadSettings, "choose organisation", m_settings.database.value(),
            "no organisation has this database");
    m_setup.start({ organisation }, [this](const std::string& failure) {
        m_problem = failure;
        if (failure.empty())
            warmUp();
        else
            event_base_loopbreak(m_loop.base());
    });
    m_loop.run();
    if (!m_problem.empty())
        return fail(ErrorCode::Internal, "warm up", m_settings.database.value(), m_problem);
    return result();
}

void FailoverRun::waitFor(std::function<bool()> condition, Duration limit, std::function<void()> next)
{
    if (condition() || limit <= Duration::zero())
        next();
    else
        m_loop.runAfter(pollInterval, [this, condition = std::move(condition), limit, next = std::move(next)] {
            waitFor(condition, limit - pollInterval, next);
        });
}

void FailoverRun::warmUp()
{
    if (m_settings.isStoreDown)
        post(m_settings.endpoints.platform.control, R"([{"kind":"outage"}])");
    m_probe.start();
    m_observer.start();
    waitFor([this] { return m_probe.count(Outcome::Done) >= warmUpWrites; }, warmUpLimit, [this] { startFault(); });
}

void FailoverRun::startFault()
{
    if (m_probe.count(Outcome::Done) < warmUpWrites) {
        m_problem = "too few writes were acknowledged before the fault";
        heal();
        return;
    }
    m_faultBegin = Standin::EventLoop::now();
    m_probe.recordFaultBegin(m_faultBegin);
    m_observer.recordFaultBegin();
    injectFault(m_settings.fault, m_settings.subject,
        [this](const SocketAddress& address, const std::string& faults) { post(address, faults); });
    waitFor([this] { return m_probe.firstAcknowledged().has_value(); }, recoveryLimit,
        [this] { m_loop.runAfter(observationTime, [this] { heal(); }); });
}

void FailoverRun::heal()
{
    m_hasRecovered = m_probe.firstAcknowledged().has_value();
    healFault(m_settings.fault, m_settings.subject,
        [this](const SocketAddress& address, const std::string& faults) { post(address, faults); });
    if (m_settings.isStoreDown)
        post(m_settings.endpoints.platform.control, "[]");
    m_loop.runAfter(observationTime, [this] { stopProbe(); });
}

void FailoverRun::stopProbe()
{
    m_probe.stop();
    m_observer.stop();
    waitFor([this] { return m_probe.pending() == 0; }, pendingAnswersLimit,
        [this] { event_base_loopbreak(m_loop.base()); });
}

void FailoverRun::post(const SocketAddress& address, const std::string& faults)
{
    m_control.send({ address, "/faults", {}, faults }, [](const HttpAnswer&) {});
}

std::string FailoverRun::result() const
{
    const auto sinceFault = [this](const std::optional<Instant>& moment) {
        if (!moment)
            return nlohmann::json();
        return nlohmann::json(std::chrono::duration<double, std::milli>(*moment - m_faultBegin).count());
    };
    const auto& times = m_observer.times();
    return nlohmann::json {
        { "fault", m_settings.fault.name }, { "subject", m_settings.subject.name },
        { "database", m_settings.database.value() }, { "seed", m_settings.seed },
        { "store_down", m_settings.isStoreDown }, { "gap_ms", sinceFault(m_probe.firstAcknowledged()) },
        { "longest_silence_ms", std::chrono::duration<double, std::milli>(m_probe.longestSilence()).count() },
        { "detect_ms", sinceFault(times.detected) }, { "fence_ms", sinceFault(times.fenced) },
        { "promote_ms", sinceFault(times.promoted) }, { "learn_ms", sinceFault(times.learned) },
        { "recovered", m_hasRecovered }, { "term_before", m_observer.termBefore() },
        { "term_after", m_observer.highestTerm() }, { "done", m_probe.count(Outcome::Done) },
        { "not_run", m_probe.count(Outcome::NotRun) }, { "unknown", m_probe.count(Outcome::Unknown) }
    }.dump();
}

} // namespace Auburnpost::Load
