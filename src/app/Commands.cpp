#include "app/Commands.h"

#include "app/Flags.h"
#include "app/HostProcess.h"
#include "app/HttpClient.h"
#include "app/Logging.h"
#include "app/SettingsFile.h"
#include "app/TextFile.h"
#include "config/DocumentParser.h"

#include <absl/flags/flag.h>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>

namespace Auburnpost {

namespace {

    using Arguments = std::vector<std::string>;

    constexpr auto programVersion = "0.1.0";
    constexpr int firstFailureStatus = 300;
    /// Names the whole document in place of a section.
    constexpr std::string_view wholeDocument = "document";

    void printToStderr(const std::string& text)
    {
        std::fprintf(stderr, "%s\n", text.c_str());
    }

    void print(const std::string& text)
    {
        std::fwrite(text.data(), 1, text.size(), stdout);
        if (!text.ends_with('\n'))
            std::fputc('\n', stdout);
    }

    int serve(const Arguments&)
    {
        const auto path = absl::GetFlag(FLAGS_settings);
        const auto settings = loadSettings(path);
        if (!settings) {
            for (const auto& problem : settings.error())
                printToStderr(problem.describe());
            printToStderr(Logging::formatLine({ LogEvent::SettingsRejected,
                { { "file", path }, { "problems", std::to_string(settings.error().size()) } } }));
            return UsageError;
        }
        if (const auto configured = Logging::configure(settings->log); !configured) {
            printToStderr(configured.error().describe());
            return UsageError;
        }
        return runHost(*settings);
    }

    int proxy(const Arguments&)
    {
        const auto port = absl::GetFlag(FLAGS_metrics_port);
        if (port == 0 || port > std::numeric_limits<std::uint16_t>::max()) {
            printToStderr("--metrics-port must be 1 to 65535");
            return UsageError;
        }
        return runProxy(static_cast<std::uint16_t>(port));
    }

    /// Calls the host with the address and timeout of the flags.
    Expected<OperatorResponse> callHost(OperatorCall operatorCall)
    {
        const auto address = SocketAddress::parse(absl::GetFlag(FLAGS_operators));
        if (!address)
            return tl::unexpected(address.error());
        operatorCall.address = *address;
        operatorCall.timeout = Duration(absl::ToInt64Microseconds(absl::GetFlag(FLAGS_timeout)));
        if (operatorCall.timeout <= Duration::zero())
            return fail(ErrorCode::BadSettings, "read command line", "", "--timeout must be above zero");
        return callOperators(operatorCall);
    }

    /// @return a readable form of a host's error response, or its raw body when it has another form.
    std::string errorText(const OperatorResponse& response)
    {
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (!body.is_object() || !body.contains("error") || !body.at("error").is_object())
            return "status " + std::to_string(response.status) + ": " + response.body;
        const auto& error = body.at("error");
        const auto field = [&error](const char* name) {
            const auto found = error.find(name);
            return found != error.end() && found->is_string() ? found->get<std::string>() : std::string();
        };
        return field("outcome") + ", " + field("code") + " at " + field("step")
            + (field("peer").empty() ? "" : " with " + field("peer")) + ": " + field("message");
    }

    /// Prints the response or the error. @return the exit status.
    int printResponse(const Expected<OperatorResponse>& response)
    {
        if (!response) {
            printToStderr(response.error().describe());
            return response.error().code == ErrorCode::BadSettings ? UsageError : Failure;
        }
        if (response->status >= firstFailureStatus) {
            printToStderr(errorText(*response));
            return Failure;
        }
        if (!response->version.empty())
            printToStderr("version " + response->version);
        print(response->body);
        return Success;
    }

    bool checkSectionName(const std::string& name)
    {
        const bool isKnown = name == wholeDocument || Config::isSection(name);
        if (!isKnown)
            printToStderr("unknown section '" + name + "'");
        return isKnown;
    }

    std::string configPath(const std::string& section)
    {
        return section == wholeDocument ? "/config" : "/config/" + section;
    }

    int configGet(const Arguments& arguments)
    {
        const auto section = arguments.empty() ? std::string(wholeDocument) : arguments.front();
        if (!checkSectionName(section))
            return UsageError;
        return printResponse(callHost({ {}, configPath(section), {}, "", {} }));
    }

    int configPut(const Arguments& arguments)
    {
        const auto& section = arguments.front();
        if (!checkSectionName(section))
            return UsageError;
        auto text = readTextFile(arguments.back());
        if (!text) {
            printToStderr(text.error().describe());
            return Failure;
        }
        return printResponse(
            callHost({ {}, configPath(section), std::move(*text), absl::GetFlag(FLAGS_if_match), {} }));
    }

    int configCheck(const Arguments& arguments)
    {
        const auto text = readTextFile(arguments.front());
        if (!text) {
            printToStderr(text.error().describe());
            return Failure;
        }
        const auto parsed = Config::parseDocument(*text);
        for (const auto& problem : parsed.problems)
            print(problem.describe());
        print(parsed.isAccepted() ? "the document would be accepted" : "the document would be refused");
        return parsed.isAccepted() ? Success : Failure;
    }

    int state(const Arguments&)
    {
        return printResponse(callHost({ {}, "/state", {}, "", {} }));
    }

    int version(const Arguments&)
    {
        print(std::string("auburnpost ") + programVersion);
        return Success;
    }

} // namespace

const std::vector<Command>& commands()
{
    static const std::vector<Command> list {
        { "serve", "--settings FILE", "run a host until SIGTERM", { "settings" }, 1, 0, 0, serve },
        { "proxy", "[--metrics-port PORT]", "run a host on a platform; an environment variable names the settings file",
            { "metrics_port" }, 0, 0, 0, proxy },
        { "config get", "[SECTION] --operators IP:PORT", "print the current document of a host, or one section of it",
            { "operators", "timeout" }, 1, 0, 1, configGet },
        { "config check", "FILE", "validate a whole document without a host; '-' reads standard input", {}, 0, 1, 1,
            configCheck },
        { "config put", "SECTION FILE --operators IP:PORT [--if-match VERSION]",
            "replace one section, or the whole document when SECTION is 'document'",
            { "operators", "if_match", "timeout" }, 1, 2, 2, configPut },
        { "state", "--operators IP:PORT", "print the state of a host as JSON", { "operators", "timeout" }, 1, 0, 0,
            state },
        { "version", "", "print the version of the program", {}, 0, 0, 0, version },
    };
    return list;
}

} // namespace Auburnpost
