#include "process/ProxyHost.h"

#include "process/LineCaller.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace Auburnpost::Test {

using Json = nlohmann::json;

namespace {

    /// @return the program of the hosts; AUBURNPOST_PROGRAM_PATH names one of another build.
    std::string programPath()
    {
        const auto* const path = std::getenv("AUBURNPOST_PROGRAM_PATH");
        return path ? path : AUBURNPOST_PROGRAM;
    }

} // namespace

std::string localAddress(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

ProxyHost::ProxyHost(ProxyHostOptions options, const TemporaryFolder& folder)
    : m_options(std::move(options))
    , m_folder(folder)
    , m_logPath(folder.path() + "/" + m_options.name + ".log")
{
}

Json ProxyHost::settings(const std::vector<std::string>& seeds) const
{
    const auto& bounds = m_options.bounds;
    const auto store = localAddress(m_options.storePort);
    return { { "Node", m_options.name }, { "Zone", m_options.dataCentre }, { "Ip", "127.0.0.1" },
        { "Listen",
            { { "Front", localAddress(m_callers) }, { "Ready", localAddress(m_readiness) },
                { "Control", localAddress(m_control) } } },
        { "InternalPorts", { m_firstInternalPort, m_lastInternalPort } }, { "Seeds", seeds },
        { "Limits",
            { { "CpuShare", 0.3 }, { "MemoryMb", m_options.memoryMb }, { "FileDescriptors", m_options.descriptors },
                { "LinkMbps", 100 } } },
        { "Bounds",
            { { "ConfigPropagationMs", bounds.configPropagationMs }, { "StabilityWindowMs", bounds.stabilityWindowMs },
                { "RollbackSlackMs", bounds.rollbackSlackMs }, { "OuterBoundMs", bounds.outerBoundMs },
                { "DrainMs", bounds.drainMs }, { "GraceS", bounds.graceS } } },
        { "platform", { { "Address", store } } }, { "Cloud", { { "Address", store } } } };
}

void ProxyHost::start(const std::vector<std::string>& seeds)
{
    kill();
    const auto path = m_folder.write(m_options.name + ".json", settings(seeds).dump());
    ChildProcessOptions options;
    // The times in the log are compared with those of the test.
    options.environment = { "AUBURNPOST_SETTINGS=" + path, "TZ=UTC0" };
    options.outputPath = m_logPath;
    m_process = std::make_unique<ChildProcess>(
        std::vector<std::string> { programPath(), "proxy", "--metrics_port=" + std::to_string(m_metrics) }, options);
}

void ProxyHost::signal(int number) const
{
    if (m_process)
        m_process->signal(number);
}

bool ProxyHost::servesRequest(const std::string& database) const
{
    LineCaller caller(m_callers, database);
    return caller.isOpen() && !caller.read("1").row.empty();
}

} // namespace Auburnpost::Test
