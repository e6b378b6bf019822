#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Auburnpost::Test {

/// A process started for a test and ended with it.
class ChildProcess {
public:
    explicit ChildProcess(const std::vector<std::string>& arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    [[nodiscard]] pid_t pid() const { return m_pid; }
    void signal(int number) const;
    /// Ends it by SIGKILL and waits for the end.
    void kill();
    /// Waits until it ends by itself.
    /// @return its exit status, or -1 when a signal ended it.
    int wait();

private:
    pid_t m_pid { 0 };
};

/// A folder that goes away with the object.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    [[nodiscard]] const std::string& path() const { return m_path; }
    /// Writes a file. @return its path.
    [[nodiscard]] std::string write(const std::string& name, const std::string& content) const;

private:
    std::string m_path;
};

/// @return a port on 127.0.0.1 that no process listens on.
std::uint16_t freePort();

/// Waits for a condition for up to 20 s. @return whether it came true.
bool eventually(const std::function<bool()>&);

} // namespace Auburnpost::Test
