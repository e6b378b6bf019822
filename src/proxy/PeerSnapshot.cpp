#include "proxy/PeerSnapshot.h"

#include "proxy/FeedPage.h"

#include <nlohmann/json.hpp>

namespace Auburnpost::Proxy {

namespace {

    using Json = nlohmann::json;

    Json encodeTable(const TableState& table)
    {
        Json rows = Json::array();
        for (const auto& [key, row] : table.rows)
            rows.push_back({ key, row.version.value(), Json::binary({ row.value.begin(), row.value.end() }),
                row.version.era().value() });
        return { { "as_of", table.asOf.value() }, { "era", table.asOf.era().value() }, { "rows", std::move(rows) } };
    }

    /// @return the version; of the first era if it is of a program that does not know of eras.
    RowVersion decodeVersion(const Json& encoded)
    {
        return RowVersion(
            encoded.at("as_of").get<std::uint64_t>(), StoreEra(encoded.value("era", std::uint64_t { 0 })));
    }

    TableState decodeTable(const Json& encoded)
    {
        TableState table;
        table.asOf = decodeVersion(encoded);
        for (const auto& row : encoded.at("rows")) {
            const auto& bytes = row.at(2).get_binary();
            const auto key = row.at(0).get<std::string>();
            // A row of a program that does not know of eras has none.
            const StoreEra era(row.size() > 3 ? row.at(3).get<std::uint64_t>() : 0);
            table.rows[key] = { key, RowVersion(row.at(1).get<std::uint64_t>(), era),
                std::string(bytes.begin(), bytes.end()), false };
        }
        return table;
    }

} // namespace

std::string encodeSnapshot(const TableStates& tables)
{
    Json encoded = Json::object();
    for (const auto& [table, state] : tables)
        encoded[std::string(toString(table))] = encodeTable(state);
    const auto bytes = Json::to_msgpack(encoded);
    return { bytes.begin(), bytes.end() };
}

Expected<TableStates> decodeSnapshot(std::string_view bytes)
{
    TableStates tables;
    try {
        const auto encoded = Json::from_msgpack(bytes.begin(), bytes.end());
        for (const auto table : followedTables)
            tables[table] = decodeTable(encoded.at(std::string(toString(table))));
    } catch (const Json::exception& problem) {
        return fail(ErrorCode::BadMessage, "read peer snapshot", "", problem.what());
    }
    return tables;
}

std::string encodeFeedPage(const FeedPage& page)
{
    Json encoded { { "as_of", page.asOf.value() }, { "era", page.asOf.era().value() },
        { "age_ms", toMilliseconds(page.age) } };
    if (page.table)
        encoded["table"] = encodeTable(*page.table);
    const auto bytes = Json::to_msgpack(encoded);
    return { bytes.begin(), bytes.end() };
}

Expected<FeedPage> decodeFeedPage(std::string_view bytes)
{
    FeedPage page;
    try {
        const auto encoded = Json::from_msgpack(bytes.begin(), bytes.end());
        page.asOf = decodeVersion(encoded);
        page.age = std::chrono::milliseconds(encoded.at("age_ms").get<std::uint32_t>());
        if (encoded.contains("table"))
            page.table = decodeTable(encoded.at("table"));
    } catch (const Json::exception& problem) {
        return fail(ErrorCode::BadMessage, "read feed page", "", problem.what());
    }
    return page;
}

} // namespace Auburnpost::Proxy
