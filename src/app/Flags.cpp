#include "app/Flags.h"

#include "base/Invariant.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <algorithm>
#include <optional>

ABSL_FLAG(std::string, settings, "", "settings file (INI)");
ABSL_FLAG(std::string, operators, "", "IP:PORT of a host's operators' interface");
ABSL_FLAG(std::uint32_t, metrics_port, 9464, "port that serves the metrics, on the host's own address");
ABSL_FLAG(std::string, if_match, "", "version of the document that the edit started from");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(15), "time limit of the whole call");

namespace Auburnpost {

namespace {

    constexpr std::string_view flagPrefix = "--";

    struct ParsedFlag {
        std::string name;
        std::optional<std::string> value;
    };

    ParsedFlag splitFlag(const std::string& argument)
    {
        const auto equals = argument.find('=');
        ParsedFlag flag { argument.substr(flagPrefix.size(), equals - flagPrefix.size()), {} };
        std::replace(flag.name.begin(), flag.name.end(), '-', '_');
        if (equals != std::string::npos)
            flag.value = argument.substr(equals + 1);
        return flag;
    }

    absl::CommandLineFlag& findFlag(std::string_view name)
    {
        auto* const flag = absl::FindCommandLineFlag(absl::string_view(name.data(), name.size()));
        AUBURNPOST_INVARIANT(flag, "a command lists a flag that the program does not define");
        return *flag;
    }

    tl::unexpected<Error> usageError(std::string message)
    {
        return fail(ErrorCode::BadRequest, "read command line", "", std::move(message));
    }

} // namespace

std::string formatFlag(std::string_view name)
{
    std::string text(flagPrefix);
    text += name;
    std::replace(text.begin() + flagPrefix.size(), text.end(), '_', '-');
    return text;
}

Expected<std::vector<std::string>> parseFlags(
    const std::vector<std::string>& arguments, const std::vector<std::string_view>& accepted)
{
    std::vector<std::string> positional;
    for (auto argument = arguments.begin(); argument != arguments.end(); ++argument) {
        if (!argument->starts_with(flagPrefix)) {
            positional.push_back(*argument);
            continue;
        }
        auto flag = splitFlag(*argument);
        if (std::find(accepted.begin(), accepted.end(), flag.name) == accepted.end())
            return usageError("unknown flag " + formatFlag(flag.name));
        if (!flag.value) {
            if (++argument == arguments.end())
                return usageError(formatFlag(flag.name) + " needs a value");
            flag.value = *argument;
        }
        std::string problem;
        if (!findFlag(flag.name).ParseFrom(*flag.value, &problem))
            return usageError(formatFlag(flag.name) + ": '" + *flag.value + "' is not a valid value: " + problem);
    }
    return positional;
}

bool isFlagEmpty(std::string_view name)
{
    return findFlag(name).CurrentValue().empty();
}

std::string flagHelp(std::string_view name)
{
    const auto& flag = findFlag(name);
    const auto defaultText = flag.DefaultValue();
    return formatFlag(name) + "  " + flag.Help() + (defaultText.empty() ? "" : " (default: " + defaultText + ")");
}

} // namespace Auburnpost
