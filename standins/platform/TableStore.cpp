#include "platform/TableStore.h"

namespace Auburnpost::Standin {

std::optional<TableStore::Row> TableStore::row(const std::string& table, const std::string& name) const
{
    const auto content = rows(table);
    const auto found = content.find(name);
    return found == content.end() ? std::nullopt : std::optional<Row>(found->second);
}

std::map<std::string, TableStore::Row> TableStore::rows(const std::string& table) const
{
    const auto found = m_tables.find(table);
    return found == m_tables.end() ? std::map<std::string, Row> {} : found->second;
}

TableStore::PutResult TableStore::put(
    const std::string& table, const std::string& name, std::string value, std::uint64_t expected)
{
    auto& rows = m_tables[table];
    const auto found = rows.find(name);
    const std::uint64_t currentVersion = found == rows.end() ? 0 : found->second.version;
    if (currentVersion != expected)
        return { false, currentVersion };
    rows[name] = { std::move(value), currentVersion + 1 };
    return { true, currentVersion + 1 };
}

std::optional<std::string> TableStore::object(const std::string& name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional<std::string>(found->second);
}

void TableStore::putObject(const std::string& name, std::string content)
{
    m_objects[name] = std::move(content);
}

} // namespace Auburnpost::Standin
