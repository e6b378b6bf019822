#pragma once

#include "proxy/Ids.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// The tables of the platform's store that hosts read.
enum class StoreTable : std::uint8_t {
    /// The operators' configuration.
    Configuration,
    /// The targets' records of themselves.
    Targets,
    /// The hosts' own records, which each host writes at its start.
    Hosts,
};

/// The tables that are followed; that of the hosts is only read now and then.
inline constexpr std::array storeTables { StoreTable::Configuration, StoreTable::Targets };

/// @return the text for logs, such as "targets".
constexpr std::string_view toString(StoreTable table)
{
    constexpr std::string_view texts[] { "configuration", "targets", "hosts" };
    return texts[static_cast<std::size_t>(table)];
}

struct StoreRow {
    std::string key;
    RowVersion version;
    std::string value;
    bool isDeleted { false };
};

/// One answer of the store about a table.
struct StorePage {
    std::vector<StoreRow> rows;
    /// The store's version as of which the rows hold.
    RowVersion asOf;
    bool hasMore { false };
    /// The changes after the version asked for are not to be had any more.
    bool isHistoryGone { false };
};

/// A table as of one version.
struct TableState {
    RowVersion asOf;
    std::map<std::string, StoreRow> rows;
};

using TableStates = std::map<StoreTable, TableState>;

} // namespace Auburnpost::Proxy
