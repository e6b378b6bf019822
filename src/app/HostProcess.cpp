#include "app/HostProcess.h"

#include "app/HostAssembly.h"
#include "app/Logging.h"
#include "config/Settings.h"

#include <event2/event.h>

#include <memory>

namespace Auburnpost {

int runHost(const Config::Settings& settings)
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
    HostAssembly assembly(base.get(), settings);
    if (const auto listening = assembly.listen(); !listening) {
        Logging::write({ LogEvent::ListenFailed, { { "reason", listening.error().describe() } } });
        return 1;
    }
    event_base_dispatch(base.get());
    return assembly.exitStatus();
}

} // namespace Auburnpost
