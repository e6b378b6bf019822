#include "platform/PlatformServer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>

ABSL_FLAG(std::string, settings, "", "INI file with the platform's settings");
ABSL_FLAG(bool, end_with_parent, false, "end when the process that started this one ends");

namespace {

using namespace Auburnpost;
using namespace Auburnpost::Standin;

constexpr int badSettingsStatus = 2;

int failWith(const Error& error)
{
    std::fprintf(stderr, "standin-platform: %s\n", error.describe().c_str());
    return badSettingsStatus;
}

int serve(const PlatformSettings& settings)
{
    EventLoop loop;
    PlatformServer server(loop, settings);
    if (const auto loaded = server.loadDocument(); !loaded)
        return failWith(loaded.error());
    if (const auto listening = server.listen(); !listening)
        return failWith(listening.error());
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "stand-in for the platform's service; see docs/OWN-PLATFORM.md\n  standin-platform --settings FILE");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_end_with_parent))
        EventLoop::terminateWithParent();
    const auto settings = PlatformSettings::read(absl::GetFlag(FLAGS_settings));
    return settings ? serve(*settings) : failWith(settings.error());
}
