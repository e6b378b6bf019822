#include "target/StateFile.h"

#include <filesystem>
#include <nlohmann/json.hpp>

namespace Auburnpost::Standin {

namespace {

    constexpr auto logName = "log.jsonl";
    constexpr auto fenceName = "fence.json";

    void replaceFile(const std::string& path, const std::string& content)
    {
        const std::string temporaryPath = path + ".new";
        std::ofstream(temporaryPath) << content;
        std::filesystem::rename(temporaryPath, path);
    }

} // namespace

StateFile::StateFile(std::string folder)
    : m_folder(std::move(folder))
{
    if (!m_folder.empty())
        std::filesystem::create_directories(m_folder);
}

std::optional<StateFile::Content> StateFile::read() const
{
    if (m_folder.empty() || !std::filesystem::exists(path(fenceName)))
        return std::nullopt;
    Content content;
    const auto fence = nlohmann::json::parse(std::ifstream(path(fenceName)));
    content.fencedTerm = Term(fence.at("term").get<std::uint64_t>());
    content.candidate = fence.at("candidate").get<std::string>();
    std::ifstream log(path(logName));
    for (std::string line; std::getline(log, line);) {
        // A kill can leave a truncated last line. Its commit was never answered, so it is ignored.
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (json.is_discarded())
            break;
        content.entries.push_back(LogEntry::fromJson(json));
    }
    return content;
}

void StateFile::append(const LogEntry& entry)
{
    if (m_folder.empty())
        return;
    if (!m_log.is_open())
        m_log.open(path(logName), std::ios::app);
    m_log << entry.toJson().dump() << '\n' << std::flush;
}

void StateFile::rewrite(const std::vector<LogEntry>& entries)
{
    if (m_folder.empty())
        return;
    m_log.close();
    std::string content;
    for (const LogEntry& entry : entries)
        content += entry.toJson().dump() + "\n";
    replaceFile(path(logName), content);
}

void StateFile::writeFence(Term term, const std::string& candidate) const
{
    if (!m_folder.empty())
        replaceFile(path(fenceName), nlohmann::json { { "term", term.value() }, { "candidate", candidate } }.dump());
}

} // namespace Auburnpost::Standin
