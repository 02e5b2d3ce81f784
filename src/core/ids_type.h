/** @file ids_type.h Types of the identifiers that the processes exchange. */
#pragma once

#include "core/strong_type.h"

#include <cstdint>

namespace bilberry {

using HostId = StrongType<struct HostIdTag, std::string>;
using ZoneId = StrongType<struct ZoneIdTag, std::string>; ///< Availability zone.
using AccountId = StrongType<struct AccountIdTag, std::string>; ///< Client account.
using TargetId = StrongType<struct TargetIdTag, std::string>;
using ModelId = StrongType<struct ModelIdTag, std::string>;
using AdapterId = StrongType<struct AdapterIdTag, std::string>; ///< Empty for the base model.
using RouteId = StrongType<struct RouteIdTag, std::string>;
using KeyId = StrongType<struct KeyIdTag, std::string>;
using RequestId
    = StrongType<struct RequestIdTag, std::uint64_t>; ///< Unique per run of a host's daemon.
using AttemptId
    = StrongType<struct AttemptIdTag, std::uint64_t>; ///< Unique per run of a host's daemon.
using Incarnation
    = StrongType<struct IncarnationTag,
                 std::uint64_t>; ///< Incarnation of a target; increases with each of its starts.
using FencingToken
    = StrongType<struct FencingTokenTag,
                 std::uint64_t>; ///< Fencing token of an order; increases with each order.
using Version
    = StrongType<struct VersionTag, std::uint64_t>; ///< Version of a model, the configuration, the
                                                    ///< routing table or the target registry.
using PromptPart
    = StrongType<struct PromptPartTag, std::string>; ///< Part of a prompt that requests may share.
using Digest = StrongType<struct DigestTag, std::string>; ///< SHA-256 in lower-case hexadecimal.

/** A model, optionally with an adapter; the unit that requests name and targets serve. */
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
