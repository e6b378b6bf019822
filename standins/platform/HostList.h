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

/// Asks each host every second whether it is ready, and shows what it found after a lag.
class HostList {
public:
    HostList(EventLoop&, const PlatformSettings&, const FaultPlan&);
    ~HostList();
    HostList(const HostList&) = delete;
    HostList& operator=(const HostList&) = delete;

    /// @return the visible state, "live" or "leaving", of each host that is on the list.
    [[nodiscard]] std::map<std::string, std::string> visible() const;
    /// @return the same as of the last check, ahead of the lag.
    [[nodiscard]] std::map<std::string, std::string> found() const;
    [[nodiscard]] const std::vector<ListedHost>& hosts() const { return m_settings.hosts; }

private:
    struct Probe {
        HostList* list;
        std::size_t index;
        evhttp_connection* connection;
        /// What the last check found; empty when the host did not answer.
        std::string found;
        std::string shown;
    };

    static void onAnswer(evhttp_request*, void* probe);

    [[nodiscard]] std::map<std::string, std::string> states(std::string Probe::*state) const;
    void checkAll();
    void check(Probe&);
    void note(Probe&, const std::string& found);
    [[nodiscard]] Duration lag() const;

    EventLoop& m_loop;
    const PlatformSettings& m_settings;
    const FaultPlan& m_faults;
    std::vector<std::unique_ptr<Probe>> m_probes;
    Timer m_timer;
};

} // namespace Auburnpost::Standin
