#pragma once

#include "base/LogPoint.h"
#include "target/SqlCommand.h"

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Auburnpost::Standin {

/// One committed transaction of a group's log; a term-start entry has no statements.
struct LogEntry {
    LogPoint point;
    std::vector<SqlCommand> statements;

    bool operator==(const LogEntry&) const = default;

    /// @return `{"term","position","statements":[{"sql","parameters"}]}`.
    [[nodiscard]] nlohmann::json toJson() const;
    /// Reads what toJson() gives; throws nlohmann::json::exception for another form.
    static LogEntry fromJson(const nlohmann::json&);
};

} // namespace Auburnpost::Standin
