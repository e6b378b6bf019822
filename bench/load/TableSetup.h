#pragma once

#include "common/EventLoop.h"
#include "load/HttpClient.h"
#include "load/Workload.h"

#include <deque>

namespace Auburnpost::Load {

/// Creates the table of facts in each database of the organisations by requests to the hosts.
class TableSetup {
public:
    TableSetup(Standin::EventLoop&, std::vector<HostEndpoint> hosts, std::string run);

    /// @param done called with an empty text when all tables exist, otherwise with the last error.
    void start(const std::vector<OrganisationAccess>&, std::function<void(const std::string&)> done);

private:
    struct Step {
        OrganisationAccess organisation;
        DatabaseName database;
        std::string sql;
    };

    void runNext();
    void onAnswer(const HttpAnswer&);

    Standin::EventLoop& m_loop;
    HttpClient m_client;
    std::vector<HostEndpoint> m_hosts;
    std::string m_run;
    std::deque<Step> m_steps;
    std::size_t m_stepNumber { 0 };
    std::uint32_t m_attempts { 0 };
    std::function<void(const std::string&)> m_done;
};

} // namespace Auburnpost::Load
