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

/// An INI file whose keys must all be asked for; the first problem is kept and reported by finish().
class IniFile {
public:
    /// @return the file's keys, or ErrorCode::BadSettings when it can't be read.
    static Expected<IniFile> read(const std::string& path);

    [[nodiscard]] std::string text(const std::string& section, const std::string& key);
    [[nodiscard]] std::string text(const std::string& section, const std::string& key, const std::string& fallback);
    [[nodiscard]] std::int64_t number(const std::string& section, const std::string& key, std::int64_t fallback);
    /// A number of milliseconds, which may have a fraction.
    [[nodiscard]] Duration milliseconds(const std::string& section, const std::string& key, double fallback);
    [[nodiscard]] SocketAddress address(const std::string& section, const std::string& key);
    /// @return every key of a section whose keys are names.
    [[nodiscard]] std::vector<std::string> keys(const std::string& section);
    /// @return the names of the sections that begin with @p prefix, without it.
    [[nodiscard]] std::vector<std::string> sections(const std::string& prefix) const;
    /// @return the first problem met, among them a key that nobody asked for.
    [[nodiscard]] Expected<void> finish() const;

private:
    using Key = std::pair<std::string, std::string>;

    void complain(const std::string& section, const std::string& key, const std::string& what);

    std::string m_path;
    std::map<Key, std::string> m_values;
    std::set<Key> m_used;
    std::string m_problem;
};

} // namespace Auburnpost::Standin
