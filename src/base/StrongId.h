#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Auburnpost {

/// A value whose type is told apart from every other by its tag.
/// @tparam Value the stored type; @tparam Tag an incomplete type that names the meaning.
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
