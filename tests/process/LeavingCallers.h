#pragma once

#include "process/ConfigSite.h"

#include <atomic>
#include <list>
#include <random>
#include <thread>

namespace Auburnpost::Test {

/// Callers that run transactions at all hosts, and leave many of them after any of their statements, answered or not.
class LeavingCallers {
public:
    LeavingCallers(ConfigSite&, std::vector<std::string> databases, std::uint64_t seed);
    ~LeavingCallers();
    LeavingCallers(const LeavingCallers&) = delete;
    LeavingCallers& operator=(const LeavingCallers&) = delete;

    /// Ends all callers.
    void stop();
    /// @return the number of transactions that callers left before their end, or whose end they did not await.
    [[nodiscard]] std::size_t left() const { return m_left; }
    [[nodiscard]] std::size_t committed() const { return m_committed; }

private:
    struct Caller {
        std::size_t host { 0 };
        std::size_t number { 0 };
        std::size_t transactions { 0 };
        std::minstd_rand random;
        std::thread thread;
    };

    void run(Caller&);
    void runTransaction(Caller&);

    ConfigSite& m_site;
    std::vector<std::string> m_databases;
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_left { 0 };
    std::atomic<std::size_t> m_committed { 0 };
    std::list<Caller> m_callers;
};

} // namespace Auburnpost::Test
