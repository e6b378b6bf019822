#pragma once

#include "base/LogRecord.h"
#include "proxy/GroupWatcher.h"
#include "proxy/PromotionLease.h"

#include <string>
#include <vector>

namespace Auburnpost::Proxy {

/// Texts and fields with which log records and dumps show what a promotion's decisions rest on.
namespace PromotionLog {

    /// Number of members that a text lists at most; the others are only counted.
    inline constexpr std::size_t maxMembers = 8;

    /// @return "TERM.POSITION".
    std::string describe(const LogPoint&);
    /// @return the milliseconds from @p moment to @p now.
    std::string age(Instant now, Instant moment);
    /// @return "store", the address of the peer whose copy of the list was adopted, or "-" when there is no list.
    std::string describeSource(const TableOrigin&);
    /// @return the members that count towards the size of the group, separated by commas, each as
    /// NAME/ROLE/END/AGEms[/fenceTERM][/leaving][/suspect], where AGE is the age of the status. A member that is no
    /// longer listed is shown as ADDRESS/unlisted.
    std::string describeMembers(Instant now, const GroupWatcher&);
    /// @return the members that departed lately, separated by commas, each as NAME/KIND/END/AGEms, where AGE is the
    /// time since the departure; "-" when there is none.
    std::string describeDepartures(Instant now, const GroupWatcher&);

    /// @return the last read of the promotion lease as HOLDER/VERSION/LEFTms/AGEms, where LEFT is what remained of the
    /// lease when it was read, followed by /pending/CANDIDATE/TERM if a promotion was recorded with it, which replaces
    /// the primary of TERM; "-" when it was not read.
    std::string describeLease(Instant now, const std::optional<LeaseReading>&);
    /// @return the number of members that report a fence of a term above the given one.
    std::size_t countFencedAbove(const GroupWatcher&, Term);

    /// Appends the fields that a promotion is decided on: members counted, fences needed and held, each member, the
    /// departures, the end of the primary's log, and the age and source of the list of targets.
    /// @param fenced the number of fences held.
    void appendEvidence(std::vector<LogField>&, Instant now, const GroupWatcher&, std::size_t fenced);

} // namespace PromotionLog

} // namespace Auburnpost::Proxy
