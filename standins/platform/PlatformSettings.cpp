#include "platform/PlatformSettings.h"

#include "common/IniFile.h"

namespace Auburnpost::Standin {

namespace {

    constexpr auto section = "platform";
    constexpr auto hostPrefix = "host.";

    constexpr double defaultAnswerMs = 2;
    constexpr double defaultHostListLagMs = 2000;
    constexpr std::int64_t defaultReadsPerSecond = 2000;
    constexpr std::int64_t defaultWritesPerSecond = 400;

    ListedHost readHost(IniFile& file, const std::string& name)
    {
        const std::string hostSection = hostPrefix + name;
        return { HostName(name), DataCentreName(file.text(hostSection, "data_centre")),
            file.address(hostSection, "gossip"), file.address(hostSection, "peers"),
            file.address(hostSection, "operators") };
    }

} // namespace

Expected<PlatformSettings> PlatformSettings::read(const std::string& path)
{
    auto file = IniFile::read(path);
    if (!file)
        return tl::unexpected<Error>(file.error());
    PlatformSettings settings;
    settings.address = file->address(section, "address");
    settings.control = file->address(section, "control");
    settings.documentFile = file->text(section, "document_file", "");
    settings.answerTime = file->milliseconds(section, "answer_ms", defaultAnswerMs);
    settings.hostListLag = file->milliseconds(section, "host_list_lag_ms", defaultHostListLagMs);
    settings.readsPerSecond = file->number(section, "reads_per_second", defaultReadsPerSecond);
    settings.writesPerSecond = file->number(section, "writes_per_second", defaultWritesPerSecond);
    settings.seed = static_cast<std::uint64_t>(file->number(section, "seed", 1));
    for (const std::string& name : file->sections(hostPrefix))
        settings.hosts.push_back(readHost(*file, name));
    if (const auto valid = file->validate(); !valid)
        return tl::unexpected<Error>(valid.error());
    return settings;
}

} // namespace Auburnpost::Standin
