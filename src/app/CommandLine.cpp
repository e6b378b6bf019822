#include "app/CommandLine.h"

#include "app/Commands.h"
#include "app/Flags.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace Auburnpost {

namespace {

    using Arguments = std::vector<std::string>;

    std::string usageLine(const Command& command)
    {
        return "auburnpost " + std::string(command.name) + (command.usage.empty() ? "" : " ")
            + std::string(command.usage);
    }

    std::string overview()
    {
        std::string text = "auburnpost: a database proxy with session consistency\n\n";
        for (const auto& command : commands())
            text += "  " + usageLine(command) + "\n      " + std::string(command.summary) + "\n";
        return text + "\nauburnpost COMMAND --help describes one command and its flags.\n";
    }

    std::string help(const Command& command)
    {
        auto text = "usage: " + usageLine(command) + "\n\n" + std::string(command.summary) + "\n";
        for (const auto flag : command.flags)
            text += "  " + flagHelp(flag) + "\n";
        return text;
    }

    int reportUsageError(const std::string& message, const std::string& usage)
    {
        std::fprintf(stderr, "auburnpost: %s\n%s", message.c_str(), usage.c_str());
        return UsageError;
    }

    bool hasHelpFlag(const Arguments& arguments)
    {
        return std::any_of(arguments.begin(), arguments.end(),
            [](const std::string& argument) { return argument == "--help" || argument == "-h"; });
    }

    /// Removes the one or two words of the command's name from the arguments. @return the command; null when none
    /// matches.
    const Command* extractCommand(Arguments& arguments)
    {
        for (const auto& command : commands()) {
            const std::size_t words = command.name.find(' ') == std::string_view::npos ? 1 : 2;
            if (arguments.size() < words)
                continue;
            const auto name = words == 1 ? arguments[0] : arguments[0] + " " + arguments[1];
            if (name != command.name)
                continue;
            arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(words));
            return &command;
        }
        return nullptr;
    }

    int run(const Command& command, const Arguments& arguments)
    {
        const auto usage = "usage: " + usageLine(command) + "\n";
        const auto positional = parseFlags(arguments, command.flags);
        if (!positional)
            return reportUsageError(positional.error().message, usage);
        if (positional->size() < command.minArguments)
            return reportUsageError("too few arguments", usage);
        if (positional->size() > command.maxArguments)
            return reportUsageError("'" + (*positional)[command.maxArguments] + "' is an unexpected argument", usage);
        for (std::size_t index = 0; index < command.requiredFlags; ++index) {
            if (isFlagEmpty(command.flags[index]))
                return reportUsageError(formatFlag(command.flags[index]) + " is missing", usage);
        }
        return command.run(*positional);
    }

} // namespace

int runCommandLine(int argumentCount, char** argumentTexts)
{
    Arguments arguments(argumentTexts + 1, argumentTexts + argumentCount);
    if (arguments.empty())
        return reportUsageError("no command given", "\n" + overview());
    const auto* const command = extractCommand(arguments);
    if (hasHelpFlag(arguments)) {
        std::fputs(command ? help(*command).c_str() : overview().c_str(), stdout);
        return Success;
    }
    if (!command)
        return reportUsageError("unknown command '" + arguments.front() + "'", "\n" + overview());
    return run(*command, arguments);
}

} // namespace Auburnpost
