#include "app/CommandLine.h"

#include <cstdio>
#include <string_view>

namespace Auburnpost {

int runCommandLine(int argumentCount, char** arguments)
{
    if (argumentCount == 2 && std::string_view(arguments[1]) == "version") {
        std::puts("auburnpost 0.1.0");
        return 0;
    }
    std::fputs("usage: auburnpost version\n", stderr);
    return 2;
}

} // namespace Auburnpost
