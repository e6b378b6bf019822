#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Auburnpost::Test {

/// What a child process gets besides its arguments.
struct ChildProcessOptions {
    /// Variables as "NAME=VALUE", added to the environment of the test.
    std::vector<std::string> environment;
    /// File that the output of the process is appended to; empty: the output of the test.
    std::string outputPath;
};

/// A child process of a test, killed by the destructor.
class ChildProcess {
public:
    explicit ChildProcess(const std::vector<std::string>& arguments, const ChildProcessOptions& = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    [[nodiscard]] pid_t pid() const { return m_pid; }
    void signal(int number) const;
    /// Sends SIGKILL and waits until the process has exited.
    void kill();
    /// Waits until the process exits; sends it no signal.
    /// @return its exit status, or -1 when a signal terminated it.
    int wait();

private:
    pid_t m_pid { 0 };
};

/// A temporary folder, removed by the destructor unless it is kept.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    [[nodiscard]] const std::string& path() const { return m_path; }
    /// Writes a file. @return its path.
    [[nodiscard]] std::string write(const std::string& name, const std::string& content) const;
    /// Leaves the folder in place.
    void keep() { m_isKept = true; }

private:
    std::string m_path;
    bool m_isKept { false };
};

/// @return a port on 127.0.0.1 that no process listens on.
std::uint16_t freePort();

/// Polls a condition for up to 20 s. @return whether it became true.
bool eventually(const std::function<bool()>&);

} // namespace Auburnpost::Test
