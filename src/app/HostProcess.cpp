#include "app/HostProcess.h"

#include "app/HostAssembly.h"
#include "app/Logging.h"
#include "app/ProxyAssembly.h"
#include "app/TextFile.h"
#include "config/Settings.h"
#include "platform/SettingsReader.h"

#include <event2/event.h>

#include <malloc.h>

#include <memory>

namespace Auburnpost {

namespace {

    /// Size from which the allocator returns a block to the system as soon as it is freed. Otherwise it raises the size
    /// by itself after the first large message, and the heap then grows by what is fragmented.
    constexpr int returnedBlockBytes = 128 * 1024;
    /// Free memory at the end of the heap above which it is returned to the system.
    constexpr int keptHeapBytes = 1024 * 1024;

    /// Keeps the memory of the process close to what it uses, so that limits on what it uses are limits on its memory.
    void returnFreeMemory()
    {
        mallopt(M_MMAP_THRESHOLD, returnedBlockBytes);
        mallopt(M_TRIM_THRESHOLD, keptHeapBytes);
    }

} // namespace

int runHost(const Config::Settings& settings)
{
    returnFreeMemory();
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
    returnFreeMemory();
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
