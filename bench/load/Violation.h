#pragma once

#include <string>
#include <string_view>

namespace Auburnpost::Load {

/// The rules of docs/LOAD.md.
enum class Rule {
    LostWrite,
    DoubledWrite,
    RanDespiteNotRun,
    ReadYourWrites,
    StaleRead,
    AgeExceeded,
    ReadBeforeWrite,
    ReadOfNotRun,
    MixedAnswer,
};

/// @return the rule's name in lower case with underscores, such as "lost_write".
std::string_view toString(Rule);

/// One violation of a rule.
struct Violation {
    Rule rule;
    /// Description of the request or fact concerned, in one sentence.
    std::string message;

    bool operator==(const Violation&) const = default;
};

} // namespace Auburnpost::Load
