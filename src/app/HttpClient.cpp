#include "app/HttpClient.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <memory>

namespace Auburnpost {

namespace {

    constexpr auto callStep = "call host";

    template <auto release> struct Deleter {
        template <typename Value> void operator()(Value* value) const { release(value); }
    };

    using BasePointer = std::unique_ptr<event_base, Deleter<event_base_free>>;
    using ConnectionPointer = std::unique_ptr<evhttp_connection, Deleter<evhttp_connection_free>>;

    /// Context of the response callback, which stores the response here.
    struct Exchange {
        event_base* base;
        std::optional<OperatorResponse> response;
    };

    std::string readBody(evhttp_request* request)
    {
        auto* const buffer = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_remove(buffer, body.data(), body.size());
        return body;
    }

    void onResponse(evhttp_request* request, void* context)
    {
        auto& exchange = *static_cast<Exchange*>(context);
        event_base_loopbreak(exchange.base);
        if (!request || evhttp_request_get_response_code(request) == 0)
            return;
        const auto* const version = evhttp_find_header(evhttp_request_get_input_headers(request), "Version");
        exchange.response
            = OperatorResponse { evhttp_request_get_response_code(request), version ? version : "", readBody(request) };
    }

    timeval toTimeval(Duration duration)
    {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
        return { seconds.count(), (duration - seconds).count() };
    }

    bool send(evhttp_connection* connection, const OperatorCall& call, Exchange& exchange)
    {
        auto* const request = evhttp_request_new(onResponse, &exchange);
        auto* const headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", call.address.toString().c_str());
        evhttp_add_header(headers, "Connection", "close");
        if (!call.ifMatch.empty())
            evhttp_add_header(headers, "If-Match", call.ifMatch.c_str());
        if (call.body) {
            evhttp_add_header(headers, "Content-Type", "application/json");
            evbuffer_add(evhttp_request_get_output_buffer(request), call.body->data(), call.body->size());
        }
        const auto method = call.body ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET;
        return evhttp_make_request(connection, request, method, call.path.c_str()) == 0;
    }

} // namespace

Expected<OperatorResponse> callOperators(const OperatorCall& call)
{
    const BasePointer base(event_base_new());
    const ConnectionPointer connection(
        evhttp_connection_base_new(base.get(), nullptr, call.address.ip.c_str(), call.address.port));
    Exchange exchange { base.get(), {} };
    const auto limit = toTimeval(call.timeout);
    event_base_loopexit(base.get(), &limit);
    if (send(connection.get(), call, exchange))
        event_base_dispatch(base.get());
    if (exchange.response)
        return *exchange.response;
    const bool isTimeout = event_base_got_exit(base.get()) != 0;
    return fail(isTimeout ? ErrorCode::DeadlineExceeded : ErrorCode::ConnectionRefused, callStep,
        call.address.toString(), isTimeout ? "no answer within the time limit" : "no connection, or it was closed");
}

} // namespace Auburnpost
