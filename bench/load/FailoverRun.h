#pragma once

#include "load/FailoverProbe.h"
#include "load/Fault.h"
#include "load/TableSetup.h"
#include "load/TakeoverObserver.h"

namespace Auburnpost::Load {

/// One fault on a running site: writes before it, the fault, writes again, healing.
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

    /// Called for each write of the probe that is over.
    void onEvent(std::function<void(const HistoryEvent&)> sink) { m_probe.onEvent(std::move(sink)); }
    /// Runs the loop until the site is healed.
    /// @return one line of JSON, or why there was nothing to measure.
    Expected<std::string> measure();
    /// @return whether a write invoked after the fault was acknowledged before the fault was healed.
    [[nodiscard]] bool hasRecovered() const { return m_hasRecovered; }

private:
    /// One step: it is over when its condition holds or its time limit has passed.
    void waitFor(std::function<bool()> isOver, Duration limit, std::function<void()> next);
    void warmUp();
    void strike();
    void heal();
    void stopProbe();
    void post(const SocketAddress&, const std::string& faults);
    [[nodiscard]] std::string result() const;

    Standin::EventLoop& m_loop;
    Settings m_settings;
    HttpClient m_control;
    TableSetup m_setup;
    FailoverProbe m_probe;
    TakeoverObserver m_observer;
    Instant m_faultBegin;
    bool m_hasRecovered { false };
    std::string m_problem;
};

} // namespace Auburnpost::Load
