#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tuple>

namespace Auburnpost::Test {

/// Body of an answer of the store, with its HTTP status.
struct RowStoreAnswer {
    int status { 200 };
    std::string body;
    /// The era of the store, which is a header of the answer.
    std::uint64_t era { 0 };
};

/// The rows of the platform's store, with one counter of versions and the copies that it may come back from. Has no
/// lock and no clock.
class RowStore {
public:
    using Moment = std::chrono::steady_clock::time_point;

    /// Writes a row for the operator or for a target.
    void write(Moment now, const std::string& table, const std::string& key, const std::string& value);
    /// Removes a row for the operator or for a target.
    void remove(Moment now, const std::string& table, const std::string& key);
    /// Counts a transaction that changes no row that anybody reads.
    void countTransaction() { ++m_version; }
    /// Answers every read of changes since a present or earlier version with 410.
    void discardHistory() { m_oldestHistory = m_version + 1; }
    /// Brings back the rows and the version of an earlier moment, and raises the era.
    void restore(Moment copiedAt);

    /// @param query parameters of the call, decoded.
    [[nodiscard]] RowStoreAnswer read(Moment now, const std::map<std::string, std::string>& query) const;
    /// @return the changes after a version, 410 for history that is not available, or nothing if there are none.
    [[nodiscard]] std::optional<RowStoreAnswer> changes(
        Moment now, const std::string& table, std::uint64_t after) const;
    /// @return the answer to a poll that ends without a change.
    [[nodiscard]] RowStoreAnswer noChanges(Moment now) const;
    /// @return an answer without a body of its own.
    [[nodiscard]] RowStoreAnswer status(int number) const { return { number, "{}", m_era }; }
    /// Runs a transaction of a host.
    [[nodiscard]] RowStoreAnswer transact(Moment now, const std::string& body);

private:
    /// Table, part and key.
    using RowId = std::tuple<std::string, std::string, std::string>;
    /// A deleted row stays, so that its deletion is among the changes.
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool isDeleted { false };
    };
    struct Copy {
        Moment takenAt;
        std::map<RowId, Row> rows;
        std::uint64_t version { 0 };
    };

    static RowId idOf(const nlohmann::json& entry);
    static nlohmann::json encode(const RowId&, const Row&);
    [[nodiscard]] RowStoreAnswer page(Moment now, nlohmann::json rows, bool hasMore) const;
    [[nodiscard]] std::uint64_t versionOf(const RowId&) const;
    void takeCopy(Moment now);

    std::map<RowId, Row> m_rows;
    std::uint64_t m_version { 100 };
    std::uint64_t m_era { 1 };
    std::uint64_t m_oldestHistory { 0 };
    std::deque<Copy> m_copies;
};

} // namespace Auburnpost::Test
