#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>

namespace Auburnpost::Wire {

namespace Detail {

    /// Frees libevent's objects with the function for their type.
    struct LibeventDeleter {
        void operator()(event* item) const { event_free(item); }
        void operator()(bufferevent* item) const { bufferevent_free(item); }
        void operator()(evbuffer* item) const { evbuffer_free(item); }
        void operator()(evhttp* item) const { evhttp_free(item); }
        void operator()(evhttp_connection* item) const { evhttp_connection_free(item); }
        void operator()(evhttp_uri* item) const { evhttp_uri_free(item); }
        void operator()(ev_token_bucket_cfg* item) const { ev_token_bucket_cfg_free(item); }
    };

} // namespace Detail

using EventPointer = std::unique_ptr<event, Detail::LibeventDeleter>;
using BuffereventPointer = std::unique_ptr<bufferevent, Detail::LibeventDeleter>;
using BufferPointer = std::unique_ptr<evbuffer, Detail::LibeventDeleter>;
using HttpPointer = std::unique_ptr<evhttp, Detail::LibeventDeleter>;
using HttpConnectionPointer = std::unique_ptr<evhttp_connection, Detail::LibeventDeleter>;
using RateLimitPointer = std::unique_ptr<ev_token_bucket_cfg, Detail::LibeventDeleter>;

} // namespace Auburnpost::Wire
