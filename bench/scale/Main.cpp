#include "scale/Benches.h"

#include <cstdio>
#include <string_view>

using namespace Auburnpost;

/// Prints the slopes of the pure libraries: of all of them, or of those named.
int main(int argc, char** argv)
{
    struct Named {
        std::string_view name;
        void (*run)();
    };
    constexpr Named benches[] = { { "membership", Bench::benchMembership }, { "placement", Bench::benchPlacement },
        { "cooldown", Bench::benchCooldown } };
    bool isKnown = argc == 1;
    for (const auto& bench : benches) {
        bool isWanted = argc == 1;
        for (int argument = 1; argument < argc; ++argument)
            isWanted |= bench.name == argv[argument];
        isKnown |= isWanted;
        if (isWanted)
            bench.run();
    }
    if (!isKnown)
        std::fprintf(stderr, "usage: auburnpost_scale [membership] [placement] [cooldown]\n");
    return isKnown ? 0 : 2;
}
