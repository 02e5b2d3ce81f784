/** @file strong_type.h Wrapper that makes a distinct type of each kind of identifier. */
#pragma once

#include "core/json_func.h"

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace bilberry {

/**
 * Value of type Rep that does not convert to a StrongType with another Tag.
 * @tparam Tag Incomplete type that tells the kinds of identifiers apart.
 * @tparam Rep Type of the underlying value; serialized without a wrapper.
 */
template <class Tag, class Rep> struct StrongType
{
    Rep value{}; ///< Underlying value.

    StrongType() = default;
    explicit StrongType(Rep v)
        : value(std::move(v))
    {
    }

    friend bool operator==(const StrongType &, const StrongType &) = default;
    friend auto operator<=>(const StrongType &, const StrongType &) = default;

    friend void to_json(nlohmann::json &j, const StrongType &v) { j = v.value; }
    friend void from_json(const nlohmann::json &j, StrongType &v) { v.value = j.get<Rep>(); }

    template <class H> friend H AbslHashValue(H h, const StrongType &v)
    {
        return H::combine(std::move(h), v.value);
    }
};

} // namespace bilberry

template <class Tag, class Rep> struct std::hash<bilberry::StrongType<Tag, Rep>>
{
    std::size_t operator()(const bilberry::StrongType<Tag, Rep> &v) const
    {
        return std::hash<Rep>{}(v.value);
    }
};
