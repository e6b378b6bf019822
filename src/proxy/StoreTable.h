#pragma once

#include "proxy/Ids.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Proxy {

/// Tables of the platform's store that hosts read.
enum class StoreTable : std::uint8_t {
    /// The operators' configuration.
    Configuration,
    /// The targets' own records.
    Targets,
    /// The hosts' own records, written by each host at its start.
    Hosts,
};

/// The tables that are followed by long polls. The table of the hosts is only read at intervals.
inline constexpr std::array followedTables { StoreTable::Configuration, StoreTable::Targets };

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

/// One response of the store to a read or a long poll of a table.
struct StorePage {
    std::vector<StoreRow> rows;
    /// The store's version that the rows reflect.
    RowVersion asOf;
    bool hasMore { false };
    /// Whether the store no longer has the changes after the requested version.
    bool isHistoryUnavailable { false };
};

/// @return the key from which the page after the one that ends with @p key is read.
inline std::string keyAfter(const std::string& key)
{
    return key + '\0';
}

/// The content of a table as of one version.
struct TableState {
    RowVersion asOf;
    std::map<std::string, StoreRow> rows;
};

using TableStates = std::map<StoreTable, TableState>;

} // namespace Auburnpost::Proxy
