#include "app/CommandLine.h"

#include "app/HostProcess.h"
#include "config/SettingsParser.h"

#include <log4cxx/basicconfigurator.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string_view>

namespace Auburnpost {

namespace {

    constexpr int usageError = 2;

    int serve(const char* path)
    {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        const auto settings = Config::parseSettings(path, text.str());
        if (!settings) {
            for (const auto& problem : settings.error())
                std::fprintf(stderr, "%s\n", problem.describe().c_str());
            return usageError;
        }
        log4cxx::BasicConfigurator::configure();
        return runHost(*settings);
    }

} // namespace

int runCommandLine(int argumentCount, char** arguments)
{
    const std::string_view command = argumentCount > 1 ? arguments[1] : "";
    if (argumentCount == 2 && command == "version") {
        std::puts("auburnpost 0.1.0");
        return 0;
    }
    if (argumentCount == 4 && command == "serve" && std::string_view(arguments[2]) == "--settings")
        return serve(arguments[3]);
    std::fputs("usage: auburnpost serve --settings FILE | version\n", stderr);
    return usageError;
}

} // namespace Auburnpost
