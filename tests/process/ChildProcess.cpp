#include "process/ChildProcess.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace Auburnpost::Test {

namespace {

    constexpr auto waitTimeout = std::chrono::seconds(20);
    constexpr auto pollInterval = std::chrono::milliseconds(5);
    /// A port that the kernel picks may be given to a connection or to another process before its owner listens on it.
    /// So ports come from below the kernel's range, and each process has a block of its own.
    constexpr std::uint16_t firstPort = 12000;
    constexpr std::uint16_t portsPerBlock = 200;
    constexpr int portBlocks = 100;

    /// @return pointers to the texts, as the functions that start a process take them.
    std::vector<char*> pointersTo(const std::vector<std::string>& texts)
    {
        std::vector<char*> pointers;
        pointers.reserve(texts.size() + 1);
        for (const std::string& text : texts)
            pointers.push_back(const_cast<char*>(text.c_str()));
        return pointers;
    }

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const ChildProcessOptions& options)
{
    auto pointers = pointersTo(arguments);
    pointers.push_back(nullptr);
    // The first of two variables of the same name counts.
    auto environment = pointersTo(options.environment);
    for (char** variable = environ; *variable; ++variable)
        environment.push_back(*variable);
    environment.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (!options.outputPath.empty()) {
        constexpr mode_t mode = 0644;
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, options.outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    }
    const int outcome = posix_spawn(&m_pid, pointers[0], &actions, nullptr, pointers.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (outcome != 0)
        throw std::runtime_error("can't start " + arguments.front());
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (m_pid)
        ::kill(m_pid, number);
}

void ChildProcess::kill()
{
    signal(SIGKILL);
    wait();
}

int ChildProcess::wait()
{
    if (!m_pid)
        return 0;
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pathTemplate = (std::filesystem::temp_directory_path() / "auburnpost-XXXXXX").string();
    if (!mkdtemp(pathTemplate.data()))
        throw std::runtime_error("can't make a temporary folder");
    m_path = pathTemplate;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    if (!m_isKept)
        std::filesystem::remove_all(m_path, ignored);
}

std::string TemporaryFolder::write(const std::string& name, const std::string& content) const
{
    const std::string path = m_path + "/" + name;
    std::ofstream(path) << content;
    return path;
}

std::uint16_t freePort()
{
    static std::uint16_t next = 0;
    const auto block = static_cast<std::uint16_t>(getpid() % portBlocks);
    for (std::uint16_t tried = 0; tried < portsPerBlock; ++tried) {
        const auto port = static_cast<std::uint16_t>(firstPort + block * portsPerBlock + next);
        next = static_cast<std::uint16_t>((next + 1) % portsPerBlock);
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool isFree = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        close(descriptor);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no port can be bound");
}

bool eventually(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + waitTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace Auburnpost::Test
