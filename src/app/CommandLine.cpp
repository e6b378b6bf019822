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
        return text + "\nauburnpost COMMAND --help tells more of one command.\n";
    }

    std::string help(const Command& command)
    {
        auto text = "usage: " + usageLine(command) + "\n\n" + std::string(command.summary) + "\n";
        for (const auto flag : command.flags)
            text += "  " + flagHelp(flag) + "\n";
        return text;
    }

    int refuse(const std::string& message, const std::string& usage)
    {
        std::fprintf(stderr, "auburnpost: %s\n%s", message.c_str(), usage.c_str());
        return UsageError;
    }

    bool asksForHelp(const Arguments& arguments)
    {
        return std::any_of(arguments.begin(), arguments.end(),
            [](const std::string& argument) { return argument == "--help" || argument == "-h"; });
    }

    /// @return the command whose one or two words begin the arguments, which are taken off; null for none.
    const Command* takeCommand(Arguments& arguments)
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
        const auto rest = parseFlags(arguments, command.flags);
        if (!rest)
            return refuse(rest.error().message, usage);
        if (rest->size() < command.minArguments)
            return refuse("an argument is missing", usage);
        if (rest->size() > command.maxArguments)
            return refuse("'" + (*rest)[command.maxArguments] + "' is one argument too many", usage);
        for (std::size_t index = 0; index < command.requiredFlags; ++index) {
            if (isFlagEmpty(command.flags[index]))
                return refuse(flagText(command.flags[index]) + " is missing", usage);
        }
        return command.run(*rest);
    }

} // namespace

int runCommandLine(int argumentCount, char** argumentTexts)
{
    Arguments arguments(argumentTexts + 1, argumentTexts + argumentCount);
    if (arguments.empty())
        return refuse("a command is missing", "\n" + overview());
    const auto* const command = takeCommand(arguments);
    if (asksForHelp(arguments)) {
        std::fputs(command ? help(*command).c_str() : overview().c_str(), stdout);
        return Success;
    }
    if (!command)
        return refuse("unknown command '" + arguments.front() + "'", "\n" + overview());
    return run(*command, arguments);
}

} // namespace Auburnpost
