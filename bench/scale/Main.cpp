#include "scale/Benches.h"

#include <cstdio>
#include <string_view>

using namespace Auburnpost;

/// Runs the scale benches of the libraries without I/O: all of them, or those named by arguments.
int main(int argc, char** argv)
{
    struct NamedBench {
        std::string_view name;
        void (*run)();
    };
    constexpr NamedBench benches[] = { { "membership", Bench::benchMembership }, { "placement", Bench::benchPlacement },
        { "cooldown", Bench::benchCooldown }, { "names", Bench::benchPreparedNames } };
    bool isKnown = argc == 1;
    for (const auto& bench : benches) {
        bool isSelected = argc == 1;
        for (int argument = 1; argument < argc; ++argument)
            isSelected |= bench.name == argv[argument];
        isKnown |= isSelected;
        if (isSelected)
            bench.run();
    }
    if (!isKnown)
        std::fprintf(stderr, "usage: auburnpost_scale [membership] [placement] [cooldown] [names]\n");
    return isKnown ? 0 : 2;
}
