#pragma once

#include "base/Ids.h"
#include "base/LogPoint.h"
#include "base/Time.h"

#include <msgpack.hpp>

#include <concepts>
#include <type_traits>

/// How base types are packed. Included by codecs only.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

        template <typename Value, typename Tag> struct pack<Auburnpost::StrongId<Value, Tag>> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(
                msgpack::packer<Stream>& out, const Auburnpost::StrongId<Value, Tag>& id) const
            {
                return out.pack(id.value());
            }
        };

        template <typename Value, typename Tag> struct convert<Auburnpost::StrongId<Value, Tag>> {
            const msgpack::object& operator()(const msgpack::object& in, Auburnpost::StrongId<Value, Tag>& id) const
            {
                id = Auburnpost::StrongId<Value, Tag>(in.as<Value>());
                return in;
            }
        };

        template <> struct pack<Auburnpost::Duration> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(
                msgpack::packer<Stream>& out, const Auburnpost::Duration& duration) const
            {
                return out.pack(static_cast<std::int64_t>(duration.count()));
            }
        };

        template <> struct convert<Auburnpost::Duration> {
            const msgpack::object& operator()(const msgpack::object& in, Auburnpost::Duration& duration) const
            {
                duration = Auburnpost::Duration(in.as<std::int64_t>());
                return in;
            }
        };

        template <> struct pack<Auburnpost::LogPoint> {
            template <typename Stream>
            msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& out, const Auburnpost::LogPoint& point) const
            {
                out.pack_array(2);
                out.pack(point.term);
                return out.pack(point.position);
            }
        };

        template <> struct convert<Auburnpost::LogPoint> {
            const msgpack::object& operator()(const msgpack::object& in, Auburnpost::LogPoint& point) const
            {
                if (in.type != type::ARRAY || in.via.array.size != 2)
                    throw type_error();
                in.via.array.ptr[0] >> point.term;
                in.via.array.ptr[1] >> point.position;
                return in;
            }
        };

    } // namespace adaptor
}
} // namespace msgpack
