#include "wire/OperatorServer.h"

#include "wire/CallerAnswerWriter.h"

#include <charconv>
#include <sigc++/functors/mem_fun.h>

namespace Auburnpost::Wire {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusServiceUnavailable = 503;
    constexpr std::string_view bearerPrefix = "Bearer ";

    struct Route {
        std::string_view resource;
        HttpMethod method;
        OperatorAction action;
        /// Whether the name of a section may follow in the path.
        bool allowsSection;
    };

    constexpr Route routes[] = {
        { "ready", HttpMethod::Get, OperatorAction::Ready, false },
        { "state", HttpMethod::Get, OperatorAction::State, false },
        { "metrics", HttpMethod::Get, OperatorAction::Metrics, false },
        { "config", HttpMethod::Get, OperatorAction::GetConfig, true },
        { "config", HttpMethod::Put, OperatorAction::PutConfig, true },
    };

    Expected<void> readRoute(const HttpRequest& message, OperatorRequest& request)
    {
        bool isKnownPath = false;
        for (const auto& route : routes) {
            const auto maxSegments = route.allowsSection ? 2U : 1U;
            if (message.path.empty() || message.path.size() > maxSegments || message.path[0] != route.resource)
                continue;
            isKnownPath = true;
            if (message.method != route.method)
                continue;
            request.action = route.action;
            request.section = message.path.size() > 1 ? message.path[1] : "";
            return {};
        }
        if (isKnownPath)
            return fail(ErrorCode::BadRequest, "read method", "", "this path does not take the method");
        return fail(ErrorCode::BadRequest, "read path", "", "no such path; see docs/WIRE.md");
    }

    Expected<void> readVersion(const HttpRequest& message, OperatorRequest& request)
    {
        const auto values = message.find("If-Match");
        if (values.empty())
            return {};
        std::uint64_t version = 0;
        const auto text = values.front();
        const auto [rest, problem] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (values.size() > 1 || problem != std::errc {} || rest != text.data() + text.size())
            return fail(ErrorCode::BadRequest, "read header", "", "If-Match is not one version number");
        request.expectedVersion = ConfigVersion(version);
        return {};
    }

    Expected<OperatorRequest> readOperatorRequest(const HttpRequest& message)
    {
        OperatorRequest request;
        request.id = message.id;
        request.body = message.body;
        for (const auto value : message.find("Authorization")) {
            if (value.starts_with(bearerPrefix))
                request.key = value.substr(bearerPrefix.size());
        }
        auto done = readRoute(message, request).and_then([&] { return readVersion(message, request); });
        if (done)
            return request;
        done.error().peer = message.peer.toString();
        return tl::unexpected<Error>(std::move(done.error()));
    }

    HttpReply writeBody(const OperatorText& text)
    {
        return { statusOk, { { "Content-Type", text.mediaType } }, text.text };
    }

    HttpReply writeBody(const NotReady& notReady)
    {
        return { statusServiceUnavailable, { { "Content-Type", "text/plain; charset=utf-8" } }, notReady.reason };
    }

    HttpReply writeBody(const Refusal& refusal)
    {
        return writeRefusal(refusal);
    }

} // namespace

OperatorServer::OperatorServer(event_base* base, SocketAddress address, HttpServerLimits limits)
    : m_server(base, std::move(address), limits)
{
    m_server.requestReceived().connect(sigc::mem_fun(*this, &OperatorServer::onRequestReceived));
    m_server.requestRefused().connect(sigc::mem_fun(*this, &OperatorServer::onRequestRefused));
}

void OperatorServer::onRequestReceived(const HttpRequest& message)
{
    const auto request = readOperatorRequest(message);
    if (request)
        m_requestReceived.emit(*request);
    else
        onRequestRefused(message.id, request.error());
}

void OperatorServer::onRequestRefused(RequestId id, const Error& error)
{
    m_server.reply(id, writeRefusal({ FailedOutcome::NotRun, error, {} }));
}

void OperatorServer::answer(const OperatorReply& answer)
{
    auto reply = std::visit([](const auto& body) { return writeBody(body); }, answer.body);
    if (answer.version)
        reply.headers.push_back({ "Version", std::to_string(answer.version->value()) });
    m_server.reply(answer.id, reply);
}

} // namespace Auburnpost::Wire
