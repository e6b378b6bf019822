#include "app/HostProcess.h"

#include <cstdio>

namespace Auburnpost {

int runHost(const Config::Settings&)
{
    std::fputs("serve: this build has no host\n", stderr);
    return 1;
}

} // namespace Auburnpost
