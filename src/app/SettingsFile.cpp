#include "app/SettingsFile.h"

#include "app/TextFile.h"
#include "config/SettingsParser.h"
#include "config/SettingsValues.h"

namespace Auburnpost {

namespace {

    constexpr auto signingKeyFileKey = "session.signing_key_file";

    std::vector<Config::SettingsProblem> problemOf(const std::string& path, std::string key, std::string message)
    {
        return { { path, 0, std::move(key), std::move(message) } };
    }

    std::string withoutTrailingSpace(std::string text)
    {
        text.erase(text.find_last_not_of(" \t\r\n") + 1);
        return text;
    }

} // namespace

tl::expected<Config::Settings, std::vector<Config::SettingsProblem>> loadSettings(const std::string& path)
{
    const auto text = readTextFile(path);
    if (!text)
        return tl::unexpected(problemOf(path, "file", text.error().message));
    auto settings = Config::parseSettings(path, *text);
    if (!settings || settings->session.signingKeyFile.empty())
        return settings;
    const auto& keyFile = settings->session.signingKeyFile;
    const auto digits = readTextFile(keyFile);
    if (!digits)
        return tl::unexpected(problemOf(path, signingKeyFileKey, digits.error().describe()));
    const auto check = Config::parseSigningKey(withoutTrailingSpace(*digits), settings->session.signingKey);
    if (!check)
        return tl::unexpected(problemOf(path, signingKeyFileKey, "the key in " + keyFile + " " + check.error()));
    return settings;
}

} // namespace Auburnpost
