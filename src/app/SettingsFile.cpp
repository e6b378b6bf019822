#include "app/SettingsFile.h"

#include "app/TextFile.h"
#include "config/SettingsParser.h"
#include "config/SettingsValues.h"

namespace Auburnpost {

namespace {

    constexpr auto signingKeyFileKey = "session.signing_key_file";

    std::vector<Config::SettingsProblem> makeProblem(const std::string& path, std::string key, std::string message)
    {
        return { { path, 0, std::move(key), std::move(message) } };
    }

    std::string trimTrailingSpace(std::string text)
    {
        text.erase(text.find_last_not_of(" \t\r\n") + 1);
        return text;
    }

} // namespace

tl::expected<Config::Settings, std::vector<Config::SettingsProblem>> loadSettings(const std::string& path)
{
    const auto text = readTextFile(path);
    if (!text)
        return tl::unexpected(makeProblem(path, "file", text.error().message));
    auto settings = Config::parseSettings(path, *text);
    if (!settings || settings->session.signingKeyFile.empty())
        return settings;
    const auto& keyFile = settings->session.signingKeyFile;
    const auto digits = readTextFile(keyFile);
    if (!digits)
        return tl::unexpected(makeProblem(path, signingKeyFileKey, digits.error().describe()));
    const auto parsedKey = Config::parseSigningKey(trimTrailingSpace(*digits), settings->session.signingKey);
    if (!parsedKey)
        return tl::unexpected(makeProblem(path, signingKeyFileKey, "the key in " + keyFile + " " + parsedKey.error()));
    return settings;
}

} // namespace Auburnpost
