#pragma once

#include "process/RowStore.h"
#include "process/ThreadServer.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Auburnpost::Test {

/// What the store does with the calls of a host.
enum class StoreFault {
    None,
    /// No answer; the connections deliver nothing any more.
    Silent,
    RefuseTooMany,
    RefuseUnavailable,
    Reset,
    /// Calls are performed and answered late.
    Late,
    /// Polls for the configuration are answered at the end of their wait, as of the newest version and without changes.
    WithoutChanges,
};

/// A call that orders a promotion.
struct PromotionCall {
    std::string group;
    std::string target;
    std::string holder;
    std::string token;
};

/// The platform's store over HTTP on 127.0.0.1, as far as hosts use it, with faults for each host or for all of them.
class StoreServer {
public:
    using Moment = RowStore::Moment;

    StoreServer() = default;
    ~StoreServer();
    StoreServer(const StoreServer&) = delete;
    StoreServer& operator=(const StoreServer&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    /// Writes a row for the operator or for a target. It is acknowledged when this returns.
    void write(const std::string& table, const std::string& key, const std::string& value);
    /// Removes a row for the operator or for a target.
    void remove(const std::string& table, const std::string& key);
    /// Handles calls for promotions. Set before the first call arrives.
    void setPromotionHandler(std::function<int(const PromotionCall&)> handler) { m_promote = std::move(handler); }
    /// Counts a transaction that changes no row, as the pings of targets do.
    void countTransaction();
    /// @param host host to which the fault applies; empty: all hosts.
    void setFault(const std::string& host, StoreFault);
    /// Leaves the next calls for a table unanswered, so many of each host, although the store is not disturbed.
    void dropCalls(const std::string& table, std::size_t callsOfEachHost);
    void discardHistory();
    /// Brings back the rows of a moment in the past, and raises the era.
    void restoreCopy(std::chrono::milliseconds age);

private:
    struct Call;

    void serve(const LoopbackSocket&);
    [[nodiscard]] RowStoreAnswer perform(const Call&, StoreFault);
    [[nodiscard]] RowStoreAnswer poll(const Call&);
    /// @return the fault that applies to the host's calls. The caller holds the lock.
    [[nodiscard]] StoreFault faultOf(const std::string& host) const;
    /// @return whether the call is one of those that are left unanswered.
    [[nodiscard]] bool isDropped(const Call&);
    /// Waits until a silent or resetting fault of the host has ended.
    void awaitEndOfSilence(const std::string& host);

    /// @return the HTTP status of the answer.
    std::function<int(const PromotionCall&)> m_promote;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping { false };
    RowStore m_rows;
    /// By host; the empty name stands for all hosts.
    std::map<std::string, StoreFault> m_faults;
    std::string m_droppedTable;
    std::size_t m_droppedOfEachHost { 0 };
    /// The calls that were left unanswered, by host.
    std::map<std::string, std::size_t> m_dropped;
    ThreadServer m_server { [this](const LoopbackSocket& connection) { serve(connection); } };
};

} // namespace Auburnpost::Test
