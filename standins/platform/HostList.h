#pragma once

#include "common/EventLoop.h"
#include "common/FaultPlan.h"
#include "platform/PlatformSettings.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace Auburnpost::Standin {

/// Checks the readiness of each host every second and publishes the detected states after a lag.
class HostList {
public:
    HostList(EventLoop&, const PlatformSettings&, const FaultPlan&);
    ~HostList();
    HostList(const HostList&) = delete;
    HostList& operator=(const HostList&) = delete;

    /// @return the published state, "live" or "leaving", of each host on the list.
    [[nodiscard]] std::map<std::string, std::string> publishedStates() const;
    /// @return the states that the last check detected, without the lag.
    [[nodiscard]] std::map<std::string, std::string> detectedStates() const;
    [[nodiscard]] const std::vector<ListedHost>& hosts() const { return m_settings.hosts; }

private:
    struct Probe {
        HostList* list;
        std::size_t index;
        evhttp_connection* connection;
        /// State that the last check detected; empty when the host did not answer.
        std::string detectedState;
        std::string publishedState;
    };

    static void onAnswer(evhttp_request*, void* probe);

    [[nodiscard]] std::map<std::string, std::string> states(std::string Probe::*state) const;
    void checkAll();
    void check(Probe&);
    void recordState(Probe&, const std::string& detectedState);
    /// @return the delay between detecting and publishing a state.
    [[nodiscard]] Duration lag() const;

    EventLoop& m_loop;
    const PlatformSettings& m_settings;
    const FaultPlan& m_faults;
    std::vector<std::unique_ptr<Probe>> m_probes;
    Timer m_timer;
};

} // namespace Auburnpost::Standin
