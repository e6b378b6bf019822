#pragma once

#include "base/LogPoint.h"
#include "target/LogEntry.h"

#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Standin {

/// Persists the log and the highest fenced term of a target across restarts. Without a folder, nothing is stored.
class StateFile {
public:
    struct Content {
        std::vector<LogEntry> entries;
        Term fencedTerm;
        std::string candidate;
    };

    /// @param folder directory of the files; empty to store nothing.
    explicit StateFile(std::string folder);

    /// @return the state that an earlier process stored; empty when there is none.
    [[nodiscard]] std::optional<Content> read() const;
    void append(const LogEntry&);
    /// Replaces the whole log, after entries were removed.
    void rewrite(const std::vector<LogEntry>&);
    void writeFence(Term, const std::string& candidate) const;

private:
    [[nodiscard]] std::string path(const char* name) const { return m_folder + "/" + name; }

    std::string m_folder;
    std::ofstream m_log;
};

} // namespace Auburnpost::Standin
