#pragma once

#include "process/DatabaseGroup.h"
#include "process/GroupTarget.h"
#include "process/ProxyHost.h"
#include "process/StoreServer.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Auburnpost::Test {

/// Hosts before a store and one database group of three members, with a database for each kind of route.
class GroupSite {
public:
    static constexpr std::chrono::milliseconds readYourWritesStaleness { 2500 };
    static constexpr std::chrono::milliseconds boundedStaleness { 1500 };
    /// In the order of RouteKind.
    inline static const std::vector<std::string> databases { "db-primary", "db-own", "db-bounded" };

    /// Starts all hosts and waits until each serves the databases.
    GroupSite(std::size_t hosts, std::uint64_t seed);
    ~GroupSite();
    GroupSite(const GroupSite&) = delete;
    GroupSite& operator=(const GroupSite&) = delete;

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }
    [[nodiscard]] ProxyHost& host(std::size_t index) { return *m_hosts[index]; }
    [[nodiscard]] StoreServer& store() { return m_store; }
    [[nodiscard]] TemporaryFolder& folder() { return m_folder; }
    [[nodiscard]] DatabaseGroup& group() { return m_group; }
    void startHost(std::size_t index);
    void killHost(std::size_t index);

    void crashMember(const std::string& name);
    /// Starts a member that crashed, with its log.
    void returnMember(const std::string& name);
    /// The member reports that it is leaving.
    void drainMember(const std::string& name);
    /// Ends a member for good.
    void endMember(const std::string& name);
    /// Starts a member without a log at a new address. @return its name.
    std::string addMember(bool isPrimary, Moment registersAt);
    /// The member writes no record for a time.
    void silenceRecord(const std::string& name, Moment until);

private:
    struct Member {
        std::unique_ptr<GroupTarget> target;
        std::uint64_t born { 0 };
        std::uint64_t sequence { 0 };
        bool isLeaving { false };
        bool isRegistered { false };
        bool reportedPrimary { false };
        bool reportedLeaving { false };
        Moment silentUntil;
        Moment reportedAt;
    };

    void keepRecords();
    void keepRecord(const std::string& name, Member&, Moment now);
    [[nodiscard]] std::string findHost(std::uint16_t remotePort, std::uint16_t localPort) const;

    TemporaryFolder m_folder;
    DatabaseGroup m_group;
    StoreServer m_store;
    std::mutex m_mutex;
    std::map<std::string, Member> m_members;
    unsigned m_startedMembers { 0 };
    std::vector<std::unique_ptr<ProxyHost>> m_hosts;
    std::vector<std::atomic<pid_t>> m_processes;
    std::atomic<bool> m_isStopping { false };
    std::thread m_records;
};

} // namespace Auburnpost::Test
