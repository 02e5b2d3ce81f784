/** @file ids_type.h Ids of everything that processes name to each other. */
#pragma once

#include "core/strong_type.h"

#include <cstdint>

namespace bilberry {

using HostId = StrongType<struct HostIdTag, std::string>;
using ZoneId = StrongType<struct ZoneIdTag, std::string>; ///< Availability zone.
using AccountId = StrongType<struct AccountIdTag, std::string>; ///< Client account.
using TargetId = StrongType<struct TargetIdTag, std::string>;
using ModelId = StrongType<struct ModelIdTag, std::string>;
using AdapterId = StrongType<struct AdapterIdTag, std::string>; ///< Empty: the base model.
using RouteId = StrongType<struct RouteIdTag, std::string>;
using KeyId = StrongType<struct KeyIdTag, std::string>;
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>; ///< Unique within one host run.
using AttemptId = StrongType<struct AttemptIdTag, std::uint64_t>; ///< Unique within one host run.
using StartNumber = StrongType<struct StartNumberTag, std::uint64_t>; ///< Grows with each start.
using FencingNumber
    = StrongType<struct FencingNumberTag, std::uint64_t>; ///< Grows with each order.
using Version = StrongType<struct VersionTag, std::uint64_t>; ///< Configuration or table version.
using Digest = StrongType<struct DigestTag, std::string>; ///< Lower-case hexadecimal SHA-256.

/** A model together with an adapter on top of it; the unit that a target serves. */
struct Variant
{
    ModelId model;
    AdapterId adapter; ///< Empty for the base model.

    friend bool operator==(const Variant &, const Variant &) = default;
    friend auto operator<=>(const Variant &, const Variant &) = default;

    template <class H> friend H AbslHashValue(H h, const Variant &v)
    {
        return H::combine(std::move(h), v.model, v.adapter);
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Variant, model, adapter)

} // namespace bilberry
