#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost {

/// Exit statuses of the program.
enum ExitStatus : int {
    Success = 0,
    Failure = 1,
    /// Invalid command line or invalid settings.
    UsageError = 2,
};

/// One subcommand.
struct Command {
    /// One or two words, such as "config get".
    std::string_view name;
    /// Arguments and flags after the name, as the usage line shows them.
    std::string_view usage;
    std::string_view summary;
    /// Names of the accepted flags, spelled with '_'; the first requiredFlags of them are mandatory.
    std::vector<std::string_view> flags;
    std::size_t requiredFlags;
    std::size_t minArguments;
    std::size_t maxArguments;
    /// @return the exit status.
    int (*run)(const std::vector<std::string>& arguments);
};

/// @return the subcommands, in the order in which the help lists them.
const std::vector<Command>& commands();

} // namespace Auburnpost
