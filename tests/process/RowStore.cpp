#include "process/RowStore.h"

#include "process/Base64.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace Auburnpost::Test {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t maxPageRows = 500;
    constexpr auto copyLifetime = std::chrono::seconds(15);
    constexpr int statusForbidden = 403;
    constexpr int statusGone = 410;
    constexpr int statusPreconditionFailed = 412;

    std::string parameter(const std::map<std::string, std::string>& query, const std::string& name)
    {
        const auto found = query.find(name);
        return found == query.end() ? "" : found->second;
    }

} // namespace

RowStore::RowId RowStore::idOf(const Json& entry)
{
    return { entry.at("Table").get<std::string>(), entry.value("part", ""), entry.at("Key").get<std::string>() };
}

Json RowStore::encode(const RowId& id, const Row& row)
{
    const auto& [table, part, key] = id;
    Json json { { "Table", table }, { "part", part }, { "Key", key }, { "RecordVersion", row.version } };
    if (row.isDeleted)
        json["Deleted"] = true;
    else
        json["Value"] = row.value;
    return json;
}

RowStoreAnswer RowStore::page(Moment now, Json rows, bool hasMore) const
{
    const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    return { 200,
        Json { { "rows", std::move(rows) }, { "RecordVersion", m_version }, { "HasMore", hasMore }, { "NowMs", nowMs } }
            .dump(),
        m_era };
}

std::uint64_t RowStore::versionOf(const RowId& id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() || found->second.isDeleted ? 0 : found->second.version;
}

void RowStore::takeCopy(Moment now)
{
    m_copies.push_back({ now, m_rows, m_version });
    // The newest copy beyond the lifetime stays, as it holds the rows of the moments after it.
    while (m_copies.size() > 1 && now - m_copies[1].takenAt > copyLifetime)
        m_copies.pop_front();
}

void RowStore::write(Moment now, const std::string& table, const std::string& key, const std::string& value)
{
    m_rows[{ table, "", key }] = { encodeBase64(value), ++m_version, false };
    takeCopy(now);
}

void RowStore::remove(Moment now, const std::string& table, const std::string& key)
{
    const RowId id { table, "", key };
    if (versionOf(id) == 0)
        return;
    m_rows[id] = { "", ++m_version, true };
    takeCopy(now);
}

void RowStore::restore(Moment copiedAt)
{
    ++m_era;
    while (m_copies.size() > 1 && m_copies.back().takenAt > copiedAt)
        m_copies.pop_back();
    if (m_copies.empty())
        return;
    m_rows = m_copies.back().rows;
    m_version = m_copies.back().version;
    m_oldestHistory = std::min(m_oldestHistory, m_version);
}

RowStoreAnswer RowStore::read(Moment now, const std::map<std::string, std::string>& query) const
{
    const auto from = parameter(query, "From");
    const auto end = parameter(query, "Target");
    const auto limitText = parameter(query, "Limit");
    const auto limit = limitText.empty() ? maxPageRows : std::min(maxPageRows, std::size_t { std::stoul(limitText) });
    Json rows = Json::array();
    for (const auto& [id, row] : m_rows) {
        const auto& [table, part, key] = id;
        const bool isInRange = key >= from && (end.empty() || key < end);
        if (table != parameter(query, "Table") || part != parameter(query, "part") || !isInRange || row.isDeleted)
            continue;
        if (rows.size() == limit)
            return page(now, std::move(rows), true);
        rows.push_back(encode(id, row));
    }
    return page(now, std::move(rows), false);
}

std::optional<RowStoreAnswer> RowStore::changes(Moment now, const std::string& table, std::uint64_t after) const
{
    if (after > m_version || after < m_oldestHistory)
        return status(statusGone);
    std::vector<std::pair<RowId, Row>> changed;
    for (const auto& [id, row] : m_rows) {
        if (std::get<0>(id) == table && row.version > after)
            changed.emplace_back(id, row);
    }
    if (changed.empty())
        return {};
    std::sort(changed.begin(), changed.end(),
        [](const auto& left, const auto& right) { return left.second.version < right.second.version; });
    Json rows = Json::array();
    for (const auto& [id, row] : changed)
        rows.push_back(encode(id, row));
    return page(now, std::move(rows), false);
}

RowStoreAnswer RowStore::noChanges(Moment now) const
{
    return page(now, Json::array(), false);
}

RowStoreAnswer RowStore::transact(Moment now, const std::string& body)
{
    const auto call = Json::parse(body);
    const auto preconditions = call.value("Precondition", Json::array());
    const auto upserts = call.value("Upserts", Json::array());
    const auto deletes = call.value("Deletes", Json::array());
    for (const auto* entries : { &upserts, &deletes }) {
        for (const auto& entry : *entries) {
            const auto table = entry.at("Table").get<std::string>();
            if (table == "op" || table == "servers")
                return status(statusForbidden);
        }
    }
    Json current = Json::array();
    bool holds = true;
    for (const auto& condition : preconditions) {
        const auto id = idOf(condition);
        holds = holds && versionOf(id) == condition.at("RecordVersion").get<std::uint64_t>();
        if (versionOf(id) > 0)
            current.push_back(encode(id, m_rows.at(id)));
    }
    if (!holds) {
        auto answer = page(now, std::move(current), false);
        answer.status = statusPreconditionFailed;
        return answer;
    }
    ++m_version;
    for (const auto& entry : upserts)
        m_rows[idOf(entry)] = { entry.at("Value").get<std::string>(), m_version, false };
    for (const auto& entry : deletes) {
        if (versionOf(idOf(entry)) > 0)
            m_rows[idOf(entry)] = { "", m_version, true };
    }
    takeCopy(now);
    return noChanges(now);
}

} // namespace Auburnpost::Test
