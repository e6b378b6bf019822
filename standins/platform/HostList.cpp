#include "platform/HostList.h"

#include <event2/http.h>

namespace Auburnpost::Standin {

namespace {

    constexpr auto checkInterval = std::chrono::seconds(1);
    constexpr timeval answerTimeout { 0, 900'000 };
    constexpr int liveStatus = 200;
    constexpr int leavingStatus = 503;

    std::string readState(evhttp_request* request)
    {
        switch (request ? evhttp_request_get_response_code(request) : 0) {
        case liveStatus:
            return "live";
        case leavingStatus:
            return "leaving";
        default:
            return "";
        }
    }

} // namespace

HostList::HostList(EventLoop& loop, const PlatformSettings& settings, const FaultPlan& faults)
    : m_loop(loop)
    , m_settings(settings)
    , m_faults(faults)
    , m_timer(loop, [this] { checkAll(); })
{
    for (std::size_t index = 0; index < settings.hosts.size(); ++index) {
        const SocketAddress& address = settings.hosts[index].operators;
        auto* const connection = evhttp_connection_base_new(loop.base(), nullptr, address.ip.c_str(), address.port);
        evhttp_connection_set_timeout_tv(connection, &answerTimeout);
        m_probes.push_back(std::make_unique<Probe>(Probe { this, index, connection, "", "" }));
    }
    m_timer.start(Duration::zero());
}

HostList::~HostList()
{
    for (const auto& probe : m_probes)
        evhttp_connection_free(probe->connection);
}

std::map<std::string, std::string> HostList::publishedStates() const
{
    return states(&Probe::publishedState);
}

std::map<std::string, std::string> HostList::detectedStates() const
{
    return states(&Probe::detectedState);
}

std::map<std::string, std::string> HostList::states(std::string Probe::*state) const
{
    std::map<std::string, std::string> states;
    for (const auto& probe : m_probes) {
        if (!((*probe).*state).empty())
            states[m_settings.hosts[probe->index].name.value()] = (*probe).*state;
    }
    return states;
}

void HostList::checkAll()
{
    for (const auto& probe : m_probes)
        check(*probe);
    m_timer.start(checkInterval);
}

void HostList::check(Probe& probe)
{
    if (m_faults.isCut(m_settings.hosts[probe.index].name.value())) {
        recordState(probe, "");
        return;
    }
    evhttp_request* const request = evhttp_request_new(onAnswer, &probe);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "host");
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    evhttp_make_request(probe.connection, request, EVHTTP_REQ_GET, "/ready");
}

void HostList::onAnswer(evhttp_request* request, void* argument)
{
    auto& probe = *static_cast<Probe*>(argument);
    probe.list->recordState(probe, readState(request));
}

void HostList::recordState(Probe& probe, const std::string& detectedState)
{
    if (probe.detectedState == detectedState)
        return;
    probe.detectedState = detectedState;
    m_loop.runAfter(lag(), [&probe, detectedState] { probe.publishedState = detectedState; });
}

Duration HostList::lag() const
{
    return m_faults.lag.value_or(m_settings.hostListLag);
}

} // namespace Auburnpost::Standin
