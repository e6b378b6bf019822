#include "app/HostProcess.h"

#include "app/HostAssembly.h"
#include "app/Logging.h"
#include "app/ProxyAssembly.h"
#include "app/TextFile.h"
#include "config/Settings.h"
#include "platform/SettingsReader.h"

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

int runProxy(std::uint16_t metricsPort)
{
    const auto path = Platform::settingsPath();
    const auto load = [path, metricsPort]() -> Expected<Proxy::ProxySettings> {
        const auto text = readTextFile(path);
        if (!text)
            return tl::unexpected(text.error());
        return Platform::readSettings(*text, metricsPort);
    };
    Logging::configureBuffered();
    const auto settings = load();
    if (!settings) {
        Logging::write({ LogEvent::SettingsRejected, { { "file", path }, { "reason", settings.error().describe() } } });
        Logging::flush();
        return 1;
    }
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(), event_base_free);
    ProxyAssembly assembly(base.get(), *settings, load);
    if (const auto listening = assembly.listen(); !listening) {
        Logging::write({ LogEvent::ListenFailed, { { "reason", listening.error().describe() } } });
        Logging::flush();
        return 1;
    }
    event_base_dispatch(base.get());
    Logging::flush();
    return assembly.exitStatus();
}

} // namespace Auburnpost
