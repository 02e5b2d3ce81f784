/** @file json_func.h The JSON library, with functions of structs that are compiled where they are
 * used. */
#pragma once

#include <nlohmann/json.hpp>

#define BILBERRY_JSON_VERSION                                                                      \
    (NLOHMANN_JSON_VERSION_MAJOR * 10'000 + NLOHMANN_JSON_VERSION_MINOR * 100                      \
     + NLOHMANN_JSON_VERSION_PATCH)

// Before version 3.11.3 the library's macros define ordinary inline functions. Each source that
// sees a struct then compiles the conversion of all its members: four fifths of the time and half
// of the memory of a compiler. As templates, they are compiled where a struct is converted.
#if BILBERRY_JSON_VERSION < 31'103

#undef NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE
#undef NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT

#define BILBERRY_JSON_FUNCTION                                                                     \
    template <class Json>                                                                          \
    requires nlohmann::detail::is_basic_json<Json>::value void

// The names of the parameters are those that the library's inner macros expect.
#define BILBERRY_JSON_WRITER(Type, ...)                                                            \
    BILBERRY_JSON_FUNCTION to_json(Json &nlohmann_json_j, const Type &nlohmann_json_t)             \
    {                                                                                              \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))                   \
    }

#define NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Type, ...)                                              \
    BILBERRY_JSON_WRITER(Type, __VA_ARGS__)                                                        \
    BILBERRY_JSON_FUNCTION from_json(const Json &nlohmann_json_j, Type &nlohmann_json_t)           \
    {                                                                                              \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__))                 \
    }

#define NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Type, ...)                                 \
    BILBERRY_JSON_WRITER(Type, __VA_ARGS__)                                                        \
    BILBERRY_JSON_FUNCTION from_json(const Json &nlohmann_json_j, Type &nlohmann_json_t)           \
    {                                                                                              \
        const Type nlohmann_json_default_obj{};                                                    \
        NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM_WITH_DEFAULT, __VA_ARGS__))    \
    }

#endif
