#pragma once

#include "proxy/FeedPage.h"
#include "proxy/HostEntry.h"
#include "proxy/StoreDelegate.h"

#include <vector>

namespace Auburnpost::Proxy {

/// The hosts according to their records in the store. A record may outlive its host, so a listed address may be
/// unreachable.
class HostDirectory {
public:
    /// Interval between reads of the hosts' records. They change only when hosts are added or replaced, and an outdated
    /// list only costs a second attempt.
    static constexpr Duration readInterval = std::chrono::seconds(12);
    /// The same after a change, as hosts are often added one after another.
    static constexpr Duration readIntervalAfterChange = std::chrono::seconds(2);
    /// Timeout of a read. After more failures than a host in touch may have, a slow store gets the longer one.
    static constexpr Duration readTimeout = std::chrono::milliseconds(500);
    static constexpr Duration longReadTimeout = std::chrono::milliseconds(900);
    static constexpr std::size_t failuresBeforeLongTimeout = 3;
    /// Time from a failed read to the next.
    static constexpr Duration readRetryDelay = std::chrono::milliseconds(250);
    /// Interval between attempts to write this host's record, and between reads while no other host is known.
    static constexpr Duration writeRetryInterval = std::chrono::seconds(1);

    HostDirectory(HostEntry self, StoreDelegate&);

    /// Writes this host's record until the write is acknowledged, and again if a read does not find it as written.
    /// Reads all records at intervals.
    void tick(Instant now);
    void recordWritten(bool isAcknowledged) { m_isRecordWritten = m_isRecordWritten || isAcknowledged; }
    /// Records a failed read.
    /// @param isStoreAnswering whether other calls to the store are answered. The read is then repeated soon, as rate
    /// limits depend on the number of hosts.
    void recordReadFailed(Instant now, bool isStoreAnswering);
    /// Adds a page of records to the read in progress. The last page ends the read and replaces the list of hosts.
    /// @return whether the list changed.
    bool updateHosts(Instant now, const StorePage&);
    /// @return all hosts, including this one.
    [[nodiscard]] const std::vector<HostEntry>& hosts() const { return m_hosts; }
    /// @return whether all records were read once.
    [[nodiscard]] bool hasRead() const { return m_hasRead; }
    /// @return the addresses at which other hosts relay connections.
    [[nodiscard]] const std::vector<SocketAddress>& relays() const { return m_relays; }

    /// @return the record of a host as the value of a row.
    [[nodiscard]] static std::string encode(const HostEntry&);

private:
    void readFrom(const std::string& key);

    HostEntry m_self;
    StoreDelegate& m_delegate;
    std::vector<HostEntry> m_hosts;
    std::vector<SocketAddress> m_relays;
    /// The hosts on the pages received so far by the read in progress.
    std::vector<HostEntry> m_partialRead;
    bool m_isRecordWritten { false };
    /// Whether the record was acknowledged before the read in progress began.
    bool m_wasWrittenBeforeRead { false };
    /// Whether the read in progress has found this host's record.
    bool m_isSelfListed { false };
    bool m_hasRead { false };
    std::size_t m_failedReads { 0 };
    Instant m_writeAt {};
    Instant m_readAt {};
};

} // namespace Auburnpost::Proxy
