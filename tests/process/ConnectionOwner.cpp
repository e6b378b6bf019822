#include "process/ConnectionOwner.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace Auburnpost::Test {

namespace {

    /// @return the inode of the socket on a local port that is connected to another, or an empty text.
    std::string socketInode(std::uint16_t localPort, std::uint16_t remotePort)
    {
        char local[16];
        char remote[16];
        std::snprintf(local, sizeof local, "0100007F:%04X", localPort);
        std::snprintf(remote, sizeof remote, "0100007F:%04X", remotePort);
        constexpr int fieldsBeforeInode = 6;
        std::ifstream table("/proc/net/tcp");
        for (std::string line; std::getline(table, line);) {
            std::istringstream fields(line);
            std::string number;
            std::string from;
            std::string to;
            std::string field;
            fields >> number >> from >> to;
            if (from != local || to != remote)
                continue;
            for (int skipped = 0; skipped < fieldsBeforeInode; ++skipped)
                fields >> field;
            fields >> field;
            return field;
        }
        return {};
    }

    bool holds(pid_t process, const std::string& socketName)
    {
        std::error_code error;
        const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(process) + "/fd", error);
        return !error && std::any_of(begin(descriptors), end(descriptors), [&socketName](const auto& descriptor) {
            std::error_code closed;
            return std::filesystem::read_symlink(descriptor.path(), closed) == socketName;
        });
    }

} // namespace

std::size_t findConnectionOwner(std::uint16_t remotePort, std::uint16_t localPort, const std::vector<pid_t>& candidates)
{
    const auto inode = socketInode(remotePort, localPort);
    if (inode.empty())
        return candidates.size();
    const auto name = "socket:[" + inode + "]";
    const auto owner = std::find_if(
        candidates.begin(), candidates.end(), [&name](pid_t process) { return process != 0 && holds(process, name); });
    return static_cast<std::size_t>(owner - candidates.begin());
}

} // namespace Auburnpost::Test
