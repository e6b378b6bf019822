#pragma once

#include "load/FailoverObserver.h"
#include "load/FailoverProbe.h"
#include "load/Fault.h"
#include "load/TableSetup.h"

namespace Auburnpost::Load {

/// Measures the effect of one fault on a running site: writes before the fault, the fault, writes until recovery,
/// healing.
class FailoverRun {
public:
    struct Settings {
        Endpoints endpoints;
        DatabaseName database;
        FaultKind fault;
        FaultSubject subject;
        std::string run;
        std::uint64_t seed { 1 };
        bool isStoreDown { false };
    };

    FailoverRun(Standin::EventLoop&, Settings, RandomEngine&);

    /// Sets the function that is called for each completed write of the probe.
    void onEvent(std::function<void(const HistoryEvent&)> sink) { m_probe.onEvent(std::move(sink)); }
    /// Runs the event loop until the fault is healed and the probe's last answers have arrived.
    /// @return the result as one line of JSON, or the reason why nothing was measured.
    Expected<std::string> measure();
    /// @return whether a write invoked after the fault was acknowledged before the fault was healed.
    [[nodiscard]] bool hasRecovered() const { return m_hasRecovered; }

private:
    /// Polls a condition and calls @p next when it holds or after the time limit.
    void waitFor(std::function<bool()> condition, Duration limit, std::function<void()> next);
    void warmUp();
    void startFault();
    void heal();
    void stopProbe();
    void post(const SocketAddress&, const std::string& faults);
    [[nodiscard]] std::string result() const;

    Standin::EventLoop& m_loop;
    Settings m_settings;
    HttpClient m_control;
    TableSetup m_setup;
    FailoverProbe m_probe;
    FailoverObserver m_observer;
    Instant m_faultBegin;
    bool m_hasRecovered { false };
    std::string m_problem;
};

} // namespace Auburnpost::Load
