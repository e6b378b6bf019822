#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Auburnpost {

/// A value with a type of its own, so that values of different meaning cannot be mixed up.
/// @tparam Value the stored type.
/// @tparam Tag an incomplete type that distinguishes this type from the others.
template <typename Value, typename Tag> class StrongId {
public:
    StrongId() = default;
    explicit StrongId(Value value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const Value& value() const { return m_value; }
    auto operator<=>(const StrongId&) const = default;

private:
    Value m_value {};
};

template <typename Value, typename Tag> std::ostream& operator<<(std::ostream& stream, const StrongId<Value, Tag>& id)
{
    return stream << id.value();
}

} // namespace Auburnpost

template <typename Value, typename Tag> struct std::hash<Auburnpost::StrongId<Value, Tag>> {
    std::size_t operator()(const Auburnpost::StrongId<Value, Tag>& id) const noexcept
    {
        return std::hash<Value> {}(id.value());
    }
};
