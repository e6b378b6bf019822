#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Auburnpost::Standin {

/// Versioned rows, written by compare-and-set on the version, and unversioned objects.
class TableStore {
public:
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
    };
    struct PutResult {
        bool accepted { false };
        /// Version of the row after the call; 0 when there is no such row.
        std::uint64_t version { 0 };
    };

    [[nodiscard]] std::optional<Row> row(const std::string& table, const std::string& name) const;
    /// @return the rows of a table by name.
    [[nodiscard]] std::map<std::string, Row> rows(const std::string& table) const;
    /// Writes a row if its current version is @p expected; 0 means that the row must not exist.
    PutResult put(const std::string& table, const std::string& name, std::string value, std::uint64_t expected);

    [[nodiscard]] std::optional<std::string> object(const std::string& name) const;
    void putObject(const std::string& name, std::string content);

private:
    std::map<std::string, std::map<std::string, Row>> m_tables;
    std::map<std::string, std::string> m_objects;
};

} // namespace Auburnpost::Standin
