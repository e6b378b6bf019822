#include "proxy/ConfigurationCaller.h"

#include "proxy/ConfigurationSimulation.h"

namespace Auburnpost::Proxy {

using namespace std::chrono_literals;

namespace {

    constexpr Duration answerTimeout = 2s;

} // namespace

ConfigurationCaller::ConfigurationCaller(ConfigurationSimulation& simulation, std::size_t host, bool keepsSession)
    : m_simulation(simulation)
    , m_host(host)
    , m_keepsSession(keepsSession)
{
    connectAfter(0ms, 500ms);
}

void ConfigurationCaller::connectAfter(Duration low, Duration high)
{
    m_simulation.forgetSession(m_session);
    m_session = {};
    m_simulation.after(m_simulation.between(low, high), [this, step = ++m_step] {
        if (m_step == step)
            connect();
    });
}

void ConfigurationCaller::connect()
{
    if (m_simulation.host(m_host).isKilled()) {
        connectAfter(100ms, 200ms);
        return;
    }
    m_database = m_simulation.chooseDatabase();
    m_session = m_simulation.addSession(*this);
    m_sentAt = m_simulation.now();
    m_simulation.host(m_host).openSession(m_session, m_database);
    awaitAnswer();
}

void ConfigurationCaller::awaitAnswer()
{
    m_simulation.after(answerTimeout, [this, step = ++m_step] {
        if (m_step != step)
            return;
        m_simulation.host(m_host).endSession(m_session);
        connectAfter(0ms, 100ms);
    });
}

void ConfigurationCaller::closed()
{
    connectAfter(0ms, 100ms);
}

void ConfigurationCaller::accepted()
{
    sendRead();
}

void ConfigurationCaller::sendRead()
{
    m_sentAt = m_simulation.now();
    const auto statement = m_simulation.addStatement({ m_host, m_database, m_sentAt });
    m_simulation.host(m_host).sendStatement(m_session, statement);
    awaitAnswer();
}

void ConfigurationCaller::checkRefusal(const Session::Failure& failure, const ConfigurationChecker::Decider& decider)
{
    if (failure.code == Session::FailureCode::UnknownDatabase)
        m_simulation.checker().checkDecision(m_simulation.now(), { m_host, m_database, m_sentAt }, {}, decider);
}

void ConfigurationCaller::refused(const Session::Failure& failure, const ConfigurationChecker::Decider& decider)
{
    checkRefusal(failure, decider);
    connectAfter(100ms, 400ms);
}

void ConfigurationCaller::answered(const Session::Answer& answer, const ConfigurationChecker::Decider& decider)
{
    if (const auto* const failure = std::get_if<Session::Failure>(&answer.body))
        checkRefusal(*failure, decider);
    if (!m_keepsSession) {
        m_simulation.host(m_host).endSession(m_session);
        connectAfter(50ms, 200ms);
        return;
    }
    m_simulation.after(m_simulation.between(30ms, 300ms), [this, step = ++m_step] {
        if (m_step == step)
            sendRead();
    });
}

} // namespace Auburnpost::Proxy
