#pragma once

#include "config/DocumentPoll.h"
#include "config/SectionEdit.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// An edit that an operator submits to a host.
struct PlannedEdit {
    Auburnpost::Duration at {};
    std::size_t host { 0 };
    std::string section;
    /// Whether the operator states the version in force on the host as the base of the edit.
    bool isBased { false };
};

/// A restart of a host, which loses all its state.
struct PlannedRestart {
    Auburnpost::Duration at {};
    std::size_t host { 0 };
};

/// A schedule of edits and failures.
struct Plan {
    std::uint64_t seed { 0 };
    std::vector<PlannedEdit> edits;
    std::vector<PlannedRestart> restarts;
    /// Start of the outage, in which the platform ignores most calls and answers none, not even those it executes.
    Auburnpost::Duration outageAt {};
    Auburnpost::Duration outageLength {};
    /// Probability in percent that a request is lost, and likewise that an answer is lost.
    int lossPercent { 0 };
};

/// Simulates hosts, operators and a platform with one row in simulated time, and checks the invariants of
/// configuration.
class ConfigSimulation {
public:
    static constexpr std::size_t hostCount = 4;

    explicit ConfigSimulation(Plan);

    /// @return the violated invariants; empty if all held.
    std::vector<std::string> run();
    [[nodiscard]] std::size_t acceptedCount() const { return m_accepted; }

private:
    struct Row {
        std::string bytes;
    };

    struct Host {
        Auburnpost::Config::DocumentStore store;
        std::unique_ptr<Auburnpost::Config::DocumentPoll> poll;
        std::uint64_t incarnation { 0 };
        Auburnpost::ConfigVersion versionBeforeRestart;
    };

    /// One attempt of an operator to make an edit through a host.
    struct Attempt {
        std::size_t plan;
        std::size_t host;
        std::uint64_t incarnation;
        Auburnpost::Config::SectionEdit edit;
        bool isClosed { false };
    };

    using Deliver = std::function<void(const Auburnpost::PlatformAnswer&)>;

    void schedule(Auburnpost::Instant, std::function<void()>);
    bool chance(int percent);
    Auburnpost::Duration randomDelay();
    void startHost(std::size_t host);
    void gossip();
    void perform(std::size_t host, std::vector<Auburnpost::Config::PollAction>);
    void requestFromPeer(std::size_t host, const Auburnpost::Config::RequestPeerDocument&);
    void checkInstalled(std::size_t host, Auburnpost::ConfigVersion);
    void send(const Auburnpost::PlatformCall&, Deliver);
    Auburnpost::PlatformReply execute(const Auburnpost::PlatformCall&);
    void beginAttempt(std::size_t plan, std::size_t host, int attemptsLeft);
    void advanceAttempt(std::size_t attempt, const std::vector<Auburnpost::PlatformCall>&);
    void closeAttempt(std::size_t attempt);
    void runTimers();
    Auburnpost::Instant nextTimer() const;
    void checkEdits();
    void checkHistory();
    void reportViolation(std::string text) { m_violations.push_back(std::move(text)); }
    [[nodiscard]] std::string editId(std::size_t plan) const { return "edit-" + std::to_string(plan); }
    [[nodiscard]] std::vector<std::uint64_t> versionsMadeBy(const std::string& editId) const;

    Plan m_plan;
    Auburnpost::RandomEngine m_random;
    Auburnpost::Instant m_now;
    std::multimap<Auburnpost::Instant, std::function<void()>> m_events;
    std::uint64_t m_lastCall { 0 };
    /// The row at each version; index 0 stands for the missing row.
    std::vector<Row> m_rows { Row {} };
    std::vector<Host> m_hosts { hostCount };
    std::deque<Attempt> m_attempts;
    std::map<std::size_t, int> m_attemptsLeft;
    std::map<std::size_t, std::optional<Auburnpost::ConfigVersion>> m_bases;
    /// The outcomes reported to operators, by plan.
    std::map<std::size_t, std::vector<Auburnpost::Config::EditOutcome>> m_outcomes;
    std::size_t m_accepted { 0 };
    std::vector<std::string> m_violations;
};
