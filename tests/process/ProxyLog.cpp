#include "process/ProxyLog.h"

#include <ctime>
#include <fstream>
#include <optional>

namespace Auburnpost::Test {

namespace {

    /// @return the moment at the start of a line, as YYYY-MM-DDThh:mm:ss.mmm in UTC.
    std::optional<Moment> readMoment(const std::string& line)
    {
        constexpr std::size_t secondsLength = sizeof("YYYY-MM-DDThh:mm:ss") - 1;
        constexpr std::size_t fractionLength = 3;
        std::tm parts {};
        if (line.size() < secondsLength + 1 + fractionLength || !strptime(line.c_str(), "%Y-%m-%dT%H:%M:%S", &parts))
            return {};
        const auto time = std::chrono::system_clock::from_time_t(timegm(&parts))
            + std::chrono::milliseconds(std::stoi(line.substr(secondsLength + 1, fractionLength)));
        const auto age = std::chrono::system_clock::now() - time;
        return std::chrono::steady_clock::now() - std::chrono::duration_cast<Moment::duration>(age);
    }

} // namespace

ProxyLog ProxyLog::read(const std::string& path, std::size_t host)
{
    constexpr std::string_view gapField = "gap_ms=";
    ProxyLog log;
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        if (line.find(" E0614 ") != std::string::npos)
            ++log.forwardedSessions;
        const auto gap = line.find(gapField);
        if (line.find(" E0114 ") == std::string::npos || gap == std::string::npos)
            continue;
        if (const auto until = readMoment(line)) {
            const std::chrono::milliseconds length(std::stoi(line.substr(gap + gapField.size())));
            log.pauses.push_back({ host, *until - length, *until, "paused, as its log says" });
        }
    }
    return log;
}

} // namespace Auburnpost::Test
