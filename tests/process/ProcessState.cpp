#include "process/ProcessState.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace Auburnpost::Test {

namespace {

    std::string folderOf(pid_t pid)
    {
        return "/proc/" + std::to_string(pid);
    }

    /// @return the value of a field of /proc/PID/status; empty if there is none.
    std::string readField(pid_t pid, const std::string& name)
    {
        std::ifstream status(folderOf(pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.starts_with(name + ":"))
                return line.substr(line.find_first_not_of(" \t", name.size() + 1));
        }
        return {};
    }

} // namespace

bool isRunning(pid_t pid)
{
    const auto state = readField(pid, "State");
    return !state.empty() && state.front() != 'Z' && state.front() != 'X';
}

std::size_t peakMemoryKb(pid_t pid)
{
    const auto peak = readField(pid, "VmHWM");
    return peak.empty() ? 0 : std::stoul(peak);
}

std::size_t openDescriptors(pid_t pid)
{
    std::size_t count = 0;
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator(folderOf(pid) + "/fd", ignored)) {
        (void)entry;
        ++count;
    }
    return count;
}

} // namespace Auburnpost::Test
