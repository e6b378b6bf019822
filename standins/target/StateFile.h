#pragma once

#include "base/LogPoint.h"
#include "target/LogEntry.h"

#include <fstream>
#include <optional>
#include <string>
#include <vector>

namespace Auburnpost::Standin {

/// What a target keeps over a restart: its log and its highest fenced term. Without a folder it keeps nothing.
class StateFile {
public:
    struct Content {
        std::vector<LogEntry> entries;
        Term fenced;
        std::string candidate;
    };

    /// @param folder where the files are; empty keeps nothing.
    explicit StateFile(std::string folder);

    /// @return what an earlier process kept; empty when there was none.
    [[nodiscard]] std::optional<Content> read() const;
    void append(const LogEntry&);
    /// Writes the whole log anew, after entries were dropped.
    void rewrite(const std::vector<LogEntry>&);
    void writeFence(Term, const std::string& candidate) const;

private:
    [[nodiscard]] std::string path(const char* name) const { return m_folder + "/" + name; }

    std::string m_folder;
    std::ofstream m_log;
};

} // namespace Auburnpost::Standin
