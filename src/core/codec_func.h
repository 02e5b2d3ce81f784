/** @file codec_func.h CBOR encoding of structs, SHA-256 digests and CRC-32C checksums. */
#pragma once

#include "core/error_type.h"
#include "core/ids_type.h"
#include "core/json_func.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/** JSON form of an optional: its value, or null if it is empty. */
template <class T> struct nlohmann::adl_serializer<std::optional<T>>
{
    static void to_json(json &j, const std::optional<T> &v)
    {
        if (v)
            j = *v;
        else
            j = nullptr;
    }
    static void from_json(const json &j, std::optional<T> &v)
    {
        if (j.is_null())
            v.reset();
        else
            v = j.get<T>();
    }
};

/** JSON form of a shared pointer: the value pointed to, or null. */
template <class T> struct nlohmann::adl_serializer<std::shared_ptr<const T>>
{
    static void to_json(json &j, const std::shared_ptr<const T> &v)
    {
        if (v)
            j = *v;
        else
            j = nullptr;
    }
    static void from_json(const json &j, std::shared_ptr<const T> &v)
    {
        if (j.is_null())
            v.reset();
        else
            v = std::make_shared<const T>(j.get<T>());
    }
};

/**
 * JSON form of a variant: an array of the index of the alternative and its value. The order of the
 * alternatives is therefore part of the encoding.
 */
template <class... Ts> struct nlohmann::adl_serializer<std::variant<Ts...>>
{
    static void to_json(json &j, const std::variant<Ts...> &v)
    {
        j = json::array({v.index(), std::visit([](const auto &m) { return json(m); }, v)});
    }
    static void from_json(const json &j, std::variant<Ts...> &v)
    {
        const auto kind = j.at(0).get<std::size_t>();
        std::size_t index = 0;
        const auto read = [&]<class T>(T *) {
            if (index++ == kind)
                v = j.at(1).get<T>();
        };
        (read(static_cast<Ts *>(nullptr)), ...);
        if (kind >= sizeof...(Ts))
            throw json::out_of_range::create(401, "variant kind", &j);
    }
};

namespace bilberry {

/** @return @p value in CBOR, with the fields of structs by name. */
template <class T> std::string encode(const T &value)
{
    std::string out;
    nlohmann::json::to_cbor(nlohmann::json(value), out);
    return out;
}

/** @return The value decoded from the CBOR in @p bytes; Errc::Malformed if they encode no T. */
template <class T> Result<T> decode(std::string_view bytes)
{
    try {
        return nlohmann::json::from_cbor(bytes).get<T>();
    } catch (const nlohmann::json::exception &) {
        return Errc::Malformed;
    }
}

/**
 * @return SHA-256 over the parts, each preceded by its length as a 64-bit integer in the machine's
 * byte order. The lengths make lists of parts with the same concatenation differ.
 */
Digest digestOf(const std::vector<std::string_view> &parts);

/** @return Whether @p a and @p b are equal; the run time depends only on their lengths. */
bool equalConstantTime(std::string_view a, std::string_view b);

/** @return CRC-32C (Castagnoli) of @p bytes. */
std::uint32_t checksumOf(std::string_view bytes);

} // namespace bilberry
