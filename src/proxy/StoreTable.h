#pragma once

#include "proxy/Ids.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Auburnpost::Proxy {

/// The tables of the platform's store that every host follows.
enum class StoreTable : std::uint8_t {
    /// The operators' configuration.
    Configuration,
    /// The targets' records of themselves.
    Targets,
};

inline constexpr std::array storeTables { StoreTable::Configuration, StoreTable::Targets };

/// @return the text for logs, such as "targets".
constexpr std::string_view toString(StoreTable table)
{
    return table == StoreTable::Configuration ? "configuration" : "targets";
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
