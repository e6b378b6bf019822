#include "wire/HttpRequestReader.h"

#include "wire/HttpServer.h"

#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cstdlib>

namespace Auburnpost::Wire {

namespace {

    /// Bytes of a header line in addition to its name and value: ": " and CRLF.
    constexpr std::size_t headerLineOverhead = 4;

    HttpMethod methodOf(evhttp_request* request)
    {
        switch (evhttp_request_get_command(request)) {
        case EVHTTP_REQ_GET:
            return HttpMethod::Get;
        case EVHTTP_REQ_POST:
            return HttpMethod::Post;
        case EVHTTP_REQ_PUT:
            return HttpMethod::Put;
        default:
            return HttpMethod::Other;
        }
    }

    bool isPrintable(std::string_view text)
    {
        return std::all_of(text.begin(), text.end(), [](char letter) { return letter >= ' ' && letter <= '~'; });
    }

    Expected<std::string> decodeSegment(const std::string& encoded)
    {
        std::size_t size = 0;
        char* const decoded = evhttp_uridecode(encoded.c_str(), 0, &size);
        std::string segment(decoded ? std::string_view(decoded, size) : std::string_view());
        std::free(decoded);
        if (segment.empty() || !isPrintable(segment))
            return fail(ErrorCode::BadRequest, "read path", "",
                "the part '" + encoded + "' of the path is empty or not printable ASCII");
        return segment;
    }

    Expected<std::vector<std::string>> readPath(evhttp_request* request)
    {
        const auto* const uri = evhttp_request_get_evhttp_uri(request);
        const char* const text = uri ? evhttp_uri_get_path(uri) : nullptr;
        std::string_view rest(text ? text : "");
        if (rest.empty() || rest.front() != '/')
            return fail(ErrorCode::BadRequest, "read path", "", "the path does not start with '/'");
        if (uri && evhttp_uri_get_query(uri))
            return fail(ErrorCode::BadRequest, "read path", "", "a query after the path is not understood");
        std::vector<std::string> path;
        rest.remove_prefix(1);
        for (auto hasMore = !rest.empty(); hasMore;) {
            const auto slash = rest.find('/');
            auto segment = decodeSegment(std::string(rest.substr(0, slash)));
            if (!segment)
                return tl::unexpected<Error>(segment.error());
            path.push_back(std::move(*segment));
            hasMore = slash != std::string_view::npos;
            rest.remove_prefix(hasMore ? slash + 1 : rest.size());
        }
        return path;
    }

    std::vector<HttpHeader> readHeaders(evhttp_request* request)
    {
        std::vector<HttpHeader> headers;
        const auto* const list = evhttp_request_get_input_headers(request);
        for (const auto* item = list->tqh_first; item; item = item->next.tqe_next)
            headers.push_back({ item->key, item->value });
        return headers;
    }

    std::size_t sizeOf(const std::vector<HttpHeader>& headers)
    {
        std::size_t bytes = 0;
        for (const auto& header : headers)
            bytes += header.name.size() + header.value.size() + headerLineOverhead;
        return bytes;
    }

    /// evhttp takes a request in an unknown transfer coding for one without a body, and its body for the next request.
    bool hasReadableCoding(const HttpRequest& message)
    {
        const auto codings = message.find("Transfer-Encoding");
        return codings.empty() || (codings.size() == 1 && !evutil_ascii_strcasecmp(codings.front().data(), "chunked"));
    }

    std::string readBody(evhttp_request* request)
    {
        auto* const buffer = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_remove(buffer, body.data(), body.size());
        return body;
    }

} // namespace

Expected<HttpRequest> readHttpRequest(evhttp_request* request, const HttpServerLimits& limits)
{
    HttpRequest message;
    message.method = methodOf(request);
    message.headers = readHeaders(request);
    const auto* const uri = evhttp_request_get_uri(request);
    if (sizeOf(message.headers) + std::string_view(uri ? uri : "").size() > limits.headerBytes)
        return fail(ErrorCode::HeaderTooLarge, "read header", "",
            "the header exceeds " + std::to_string(limits.headerBytes) + " bytes");
    if (evbuffer_get_length(evhttp_request_get_input_buffer(request)) > limits.bodyBytes)
        return fail(ErrorCode::BodyTooLarge, "read body", "",
            "the body exceeds " + std::to_string(limits.bodyBytes) + " bytes");
    // Readers that choose different Content-Length headers would see different requests (request smuggling).
    if (message.find("Content-Length").size() > 1)
        return fail(ErrorCode::BadRequest, "read header", "", "the body's length is given more than once");
    if (!hasReadableCoding(message))
        return fail(ErrorCode::BadRequest, "read header", "", "the only transfer coding that is read is chunked");
    auto path = readPath(request);
    if (!path)
        return tl::unexpected<Error>(path.error());
    message.path = std::move(*path);
    message.body = readBody(request);
    return message;
}

} // namespace Auburnpost::Wire
