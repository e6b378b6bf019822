#pragma once

#include "base/Expected.h"
#include "base/SocketAddress.h"
#include "base/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Auburnpost::Standin {

/// Typed access to an INI file. The first problem is recorded and returned by validate(), which also rejects keys
/// that were never requested.
class IniFile {
public:
    /// @return the parsed file, or ErrorCode::BadSettings when it can't be read or parsed.
    static Expected<IniFile> read(const std::string& path);

    /// Reads a required key. A missing key is recorded as a problem.
    [[nodiscard]] std::string text(const std::string& section, const std::string& key);
    [[nodiscard]] std::string text(const std::string& section, const std::string& key, const std::string& fallback);
    /// Reads a whole number of at least 0.
    [[nodiscard]] std::int64_t number(const std::string& section, const std::string& key, std::int64_t fallback);
    /// Reads a number of milliseconds of at least 0, which may have a fraction.
    [[nodiscard]] Duration milliseconds(const std::string& section, const std::string& key, double fallback);
    /// Reads a required address of the form IP:PORT.
    [[nodiscard]] SocketAddress address(const std::string& section, const std::string& key);
    /// @return the names of all keys in a section.
    [[nodiscard]] std::vector<std::string> keys(const std::string& section);
    /// @return the names of the sections that start with @p prefix, with the prefix removed.
    [[nodiscard]] std::vector<std::string> sections(const std::string& prefix) const;
    /// @return the first recorded problem, or else the first key that was never requested, as ErrorCode::BadSettings.
    [[nodiscard]] Expected<void> validate() const;

private:
    using Key = std::pair<std::string, std::string>;

    void recordProblem(const std::string& section, const std::string& key, const std::string& what);

    std::string m_path;
    std::map<Key, std::string> m_values;
    std::set<Key> m_requestedKeys;
    std::string m_problem;
};

} // namespace Auburnpost::Standin
