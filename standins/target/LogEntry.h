#pragma once

#include "base/LogPoint.h"
#include "target/SqlCommand.h"

#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Auburnpost::Standin {

/// A committed transaction in the log of a group. The first entry of a promoted primary's term has no statements.
struct LogEntry {
    LogPoint point;
    std::vector<SqlCommand> statements;

    bool operator==(const LogEntry&) const = default;

    /// @return `{"term","position","statements":[{"sql","parameters"}]}`.
    [[nodiscard]] nlohmann::json toJson() const;
    /// Parses the output of toJson(). Throws nlohmann::json::exception when the JSON has another form.
    static LogEntry fromJson(const nlohmann::json&);
};

} // namespace Auburnpost::Standin
