#pragma once

#include "base/Time.h"
#include "proxy/HostEntry.h"
#include "proxy/TableTimes.h"

#include <map>
#include <optional>
#include <vector>

namespace Auburnpost::Proxy {

/// Decides when this host asks which other host for the version of its configuration. This is anti-entropy as of Demers
/// et al., "Epidemic algorithms for replicated database maintenance" (PODC 1987): both sides state their versions, and
/// the one that is behind fetches the newer configuration. It does not depend on the calls to the store, so that a host
/// learns of a newer configuration whatever is wrong with the way in which it follows the store.
///
/// Each host asks a few partners in turn, chosen by rendezvous hashing, so that it keeps few connections and every host
/// is a partner of some others. Most partners are in its own data centre, where messages cost least.
class VersionExchange {
public:
    static constexpr std::size_t partners = 4;
    /// Partners of another data centre among them.
    static constexpr std::size_t remotePartners = 1;
    /// Time within which a partner answers.
    static constexpr Duration answerTimeout = TableTimes::minAnswerTimeout;
    /// Time for which a partner that did not answer is avoided.
    static constexpr Duration avoidanceTime = std::chrono::seconds(10);

    /// @param limit time within which a host has to know a change of the configuration.
    VersionExchange(HostName self, DataCentreName, Duration limit);

    void setLimit(Duration limit);
    /// @param hosts all known hosts, including this one.
    void setHosts(const std::vector<HostEntry>& hosts);
    /// @param seeds addresses that are asked while no other host is known.
    void setSeeds(std::vector<SocketAddress> seeds) { m_seeds = std::move(seeds); }
    /// @return the host to ask now; empty if no question is due.
    [[nodiscard]] std::optional<SocketAddress> nextQuestion(Instant now);
    /// Records that a partner did not answer, or not with a version. The next one is asked at once.
    /// @return whether the partner was not avoided already.
    bool recordFailure(Instant now, const SocketAddress& partner);
    /// Makes a question due, such as after a pause of the process.
    void askAtOnce(Instant now) { m_nextAt = now; }

    /// @return the time between two questions.
    [[nodiscard]] Duration interval() const { return m_interval; }

private:
    /// @param isAvoided whether to take the partners that are avoided into account.
    [[nodiscard]] std::vector<SocketAddress> choosePartners(bool isAvoided) const;

    HostName m_self;
    DataCentreName m_dataCentre;
    Duration m_interval;
    /// The other hosts that answer, in order of preference.
    std::vector<HostEntry> m_ranked;
    std::vector<SocketAddress> m_seeds;
    std::map<SocketAddress, Instant> m_avoidedUntil;
    std::size_t m_position { 0 };
    Instant m_nextAt {};
};

} // namespace Auburnpost::Proxy
