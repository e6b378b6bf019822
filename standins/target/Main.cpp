#include "target/ControlServer.h"
#include "target/PgServer.h"
#include "target/ReplicationClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>

ABSL_FLAG(std::string, settings, "", "INI file with the target's settings");
ABSL_FLAG(bool, end_with_parent, false, "end when the process that started this one ends");

namespace {

using namespace Auburnpost;
using namespace Auburnpost::Standin;

constexpr int badSettingsStatus = 2;

int failWith(const Error& error)
{
    std::fprintf(stderr, "standin-target: %s\n", error.describe().c_str());
    return badSettingsStatus;
}

int serve(const TargetSettings& settings)
{
    EventLoop loop;
    Target target(settings);
    PgServer server(loop, target);
    ControlServer control(loop, target, server);
    const ReplicationClient replication(loop, target);
    if (const auto listening = control.listen(settings.control); !listening)
        return failWith(listening.error());
    if (const auto listening = server.listen(settings.address); !listening)
        return failWith(listening.error());
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "stand-in for a database server; see docs/TARGETS.md\n  standin-target --settings FILE");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_end_with_parent))
        EventLoop::terminateWithParent();
    const auto settings = TargetSettings::read(absl::GetFlag(FLAGS_settings));
    return settings ? serve(*settings) : failWith(settings.error());
}
