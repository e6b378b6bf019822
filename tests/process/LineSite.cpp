#include "process/LineSite.h"

#include "process/ConfigDocument.h"

#include <stdexcept>

namespace Auburnpost::Test {

namespace {

    constexpr auto group = "g-1";

    ProxyHostOptions hostOptions(int memoryMb, int descriptors, std::uint16_t storePort)
    {
        ProxyHostOptions options;
        options.memoryMb = memoryMb;
        options.descriptors = descriptors;
        options.bounds.configPropagationMs = 6000;
        options.bounds.stabilityWindowMs = 6000;
        options.bounds.drainMs = 10000;
        options.storePort = storePort;
        return options;
    }

} // namespace

LineSite::LineSite(int memoryMb, int descriptors)
    : m_host(hostOptions(memoryMb, descriptors, m_store.port()), m_folder)
{
    const ConfigDocument configuration { 1, { { database, group } }, { group }, m_target.connectionLimit() };
    m_store.write("op", "config", configuration.toJson());
    m_store.write("servers", "t-1", makeTargetRecord(group, localAddress(m_target.port())));
    m_host.start({});
    const bool isServing = eventually([this] { return servesRequest(); });
    if (!isServing)
        throw std::runtime_error("the host does not serve");
}

} // namespace Auburnpost::Test
