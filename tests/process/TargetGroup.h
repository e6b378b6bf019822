#pragma once

#include "process/ChildProcess.h"
#include "process/PgClient.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace Auburnpost::Test {

/// A database group of target stand-ins named "a", "b", …; "a" is the initial primary.
class TargetGroup {
public:
    /// @param extra additional lines of the section [target], such as "slots = 1"; FOLDER stands for a folder of the
    /// target's own.
    explicit TargetGroup(int size, std::string extra = "");

    PgClient connect(const std::string& target, const std::string& application = "host-1/west-colombo") const;
    [[nodiscard]] nlohmann::json state(const std::string& target) const;
    [[nodiscard]] nlohmann::json log(const std::string& target) const;
    /// Replaces the active faults of a target. @return the HTTP status.
    int faults(const std::string& target, const std::string& json) const;
    int post(const std::string& target, const std::string& path, const std::string& json) const;
    /// @return the port at which the target accepts clients.
    [[nodiscard]] std::uint16_t port(const std::string& target) const { return m_members.at(target).port; }
    ChildProcess& process(const std::string& target) { return *m_members.at(target).process; }
    /// Starts a target, or restarts one whose process has exited, and waits until it answers.
    void restart(const std::string& target);
    /// Waits up to 20 s until the target's last position equals the given one.
    [[nodiscard]] bool waitForPosition(const std::string& target, std::uint64_t position) const;

    static constexpr auto database = "sizing-core-1";

private:
    struct Member {
        std::uint16_t port;
        std::uint16_t control;
        std::unique_ptr<ChildProcess> process;
    };

    [[nodiscard]] std::string settings(const std::string& target) const;

    TemporaryFolder m_folder;
    std::string m_extraSettings;
    std::map<std::string, Member> m_members;
};

} // namespace Auburnpost::Test
