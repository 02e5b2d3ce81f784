/** @file link_wire.cpp MessagePack encoding of host reports and grants. */
#include "net/link_wire_func.h"

#include <msgpack.hpp>
#include <tuple>
#include <type_traits>

namespace bilberry {

namespace {

/** Lists the fields of a struct in the order in which they are encoded. */
template <class T> struct Fields;

template <class T>
concept HasFields = requires(T &value)
{
    Fields<T>::of(value);
};

template <class T>
concept WireEnum = std::is_same_v<T, TargetKind> || std::is_same_v<T, CacheTier>;

template <> struct Fields<Variant>
{
    static auto of(auto &v) { return std::tie(v.model, v.adapter); }
};
template <> struct Fields<HolderId>
{
    static auto of(auto &v) { return std::tie(v.host, v.run); }
};
template <> struct Fields<LoadedVariant>
{
    static auto of(auto &v) { return std::tie(v.variant, v.version, v.memoryMb); }
};
template <> struct Fields<CachedModel>
{
    static auto of(auto &v) { return std::tie(v.model, v.tier); }
};
template <> struct Fields<LoadingVariant>
{
    static auto of(auto &v) { return std::tie(v.variant, v.left); }
};
template <> struct Fields<TargetAnnouncement>
{
    static auto of(auto &v)
    {
        return std::tie(v.id, v.address, v.kind, v.zone, v.service, v.memoryMb, v.maxConcurrent,
                        v.start, v.loaded, v.cached, v.loading, v.failing, v.leaving, v.lastOrder,
                        v.failedOrders, v.coldFor, v.sequence, v.requestRate, v.cachedIsKnown,
                        v.softwareVersion);
    }
};
template <> struct Fields<PoolUse>
{
    static auto of(auto &v) { return std::tie(v.spent, v.returned, v.want, v.carried, v.refused); }
};
template <> struct Fields<AccountUse>
{
    static auto of(auto &v) { return std::tie(v.account, v.requests, v.tokens); }
};
template <> struct Fields<AccountDemand>
{
    static auto of(auto &v) { return std::tie(v.account, v.demand, v.rank); }
};
template <> struct Fields<WindowUse>
{
    static auto of(auto &v) { return std::tie(v.window, v.accounts); }
};
template <> struct Fields<LoadForecast>
{
    static auto of(auto &v) { return std::tie(v.variant, v.left); }
};
template <> struct Fields<SlotUse>
{
    static auto of(auto &v)
    {
        return std::tie(v.target, v.start, v.slots, v.succeeded, v.overloaded, v.failed, v.limit,
                        v.busyFor, v.demand);
    }
};
template <> struct Fields<RateUse>
{
    static auto of(auto &v)
    {
        return std::tie(v.target, v.start, v.requests, v.rate, v.observed, v.madeAfterAge,
                        v.madeBeforeAge);
    }
};
template <> struct Fields<RateGrant>
{
    static auto of(auto &v) { return std::tie(v.target, v.start, v.requests, v.wait, v.interval); }
};
template <> struct Fields<PinnedDemand>
{
    static auto of(auto &v) { return std::tie(v.softwareVersion, v.waiting); }
};
template <> struct Fields<WaitingDemand>
{
    static auto of(auto &v) { return std::tie(v.left, v.waiting, v.weight); }
};
template <> struct Fields<VariantUse>
{
    static auto of(auto &v)
    {
        return std::tie(v.variant, v.waiting, v.running, v.arrived, v.returning,
                        v.earliestDeadlineIn, v.accounts, v.pinned, v.timeLeft);
    }
};
template <> struct Fields<CrashSuspicion>
{
    static auto of(auto &v) { return std::tie(v.request, v.target, v.start, v.alone); }
};
template <> struct Fields<LostRequest>
{
    static auto of(auto &v)
    {
        return std::tie(v.request, v.target, v.start, v.age, v.parts, v.trial);
    }
};
template <> struct Fields<AnsweredPart>
{
    static auto of(auto &v) { return std::tie(v.part, v.age); }
};
template <> struct Fields<SuspectedPart>
{
    static auto of(auto &v) { return std::tie(v.part, v.restricted); }
};
template <> struct Fields<ControlCandidate>
{
    static auto of(auto &v) { return std::tie(v.member, v.address); }
};
template <> struct Fields<HostReport>
{
    static auto of(auto &v)
    {
        return std::tie(v.holder, v.zone, v.sequence, v.sentAt, v.term, v.table, v.registryEpoch,
                        v.registry, v.membershipIndex, v.suspectsVersion, v.leaving, v.entry,
                        v.member, v.accounts, v.slots, v.variants, v.targets, v.alive,
                        v.targetsLeft, v.suspicions, v.cleared, v.lostRequests, v.answeredParts,
                        v.trialsWanted, v.rates, v.statedLeaving, v.unixMs, v.usage,
                        v.forecastsVersion);
    }
};
template <> struct Fields<RegistryDelta>
{
    static auto of(auto &v) { return std::tie(v.epoch, v.full, v.version, v.changed, v.removed); }
};
template <> struct Fields<AccountGrant>
{
    static auto of(auto &v)
    {
        return std::tie(v.account, v.requests, v.tokens, v.requestWait, v.tokenWait, v.settling);
    }
};
template <> struct Fields<SlotGrant>
{
    static auto of(auto &v) { return std::tie(v.target, v.start, v.slots, v.limit, v.share); }
};
template <> struct Fields<HostGrant>
{
    static auto of(auto &v)
    {
        return std::tie(v.sequence, v.sentAt, v.term, v.registry, v.accounts, v.slots,
                        v.membershipIndex, v.controlHosts, v.clock, v.suspectsVersion, v.suspects,
                        v.unknownTargets, v.hostCount, v.hostRank, v.suspectedParts, v.trials,
                        v.rates, v.unixMs, v.usageRecordedIn, v.usageFixedUpTo, v.forecastsVersion,
                        v.forecasts);
    }
};

} // namespace

} // namespace bilberry

// msgpack-c looks up conversions in its own namespace.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <bilberry::HasFields T> struct pack<T, void>
    {
        template <class Stream> auto &operator()(packer<Stream> &out, const T &value) const
        {
            return out.pack(bilberry::Fields<T>::of(value));
        }
    };
    template <bilberry::HasFields T> struct convert<T, void>
    {
        const msgpack::object &operator()(const msgpack::object &in, T &value) const
        {
            auto fields = bilberry::Fields<T>::of(value);
            in.convert(fields);
            return in;
        }
    };

    template <class Tag, class Rep> struct pack<bilberry::StrongType<Tag, Rep>, void>
    {
        template <class Stream>
        auto &operator()(packer<Stream> &out, const bilberry::StrongType<Tag, Rep> &value) const
        {
            return out.pack(value.value);
        }
    };
    template <class Tag, class Rep> struct convert<bilberry::StrongType<Tag, Rep>, void>
    {
        const msgpack::object &operator()(const msgpack::object &in,
                                          bilberry::StrongType<Tag, Rep> &value) const
        {
            return in.convert(value.value), in;
        }
    };

    template <> struct convert<std::shared_ptr<const bilberry::TargetAnnouncement>, void>
    {
        const msgpack::object &
        operator()(const msgpack::object &in,
                   std::shared_ptr<const bilberry::TargetAnnouncement> &value) const
        {
            value = std::make_shared<const bilberry::TargetAnnouncement>(
                in.as<bilberry::TargetAnnouncement>());
            return in;
        }
    };

    template <> struct pack<bilberry::Duration, void>
    {
        template <class Stream>
        auto &operator()(packer<Stream> &out, const bilberry::Duration &value) const
        {
            return out.pack(value.count());
        }
    };
    template <> struct convert<bilberry::Duration, void>
    {
        const msgpack::object &operator()(const msgpack::object &in,
                                          bilberry::Duration &value) const
        {
            value = bilberry::Duration(in.as<bilberry::Duration::rep>());
            return in;
        }
    };

    template <> struct pack<bilberry::TimePoint, void>
    {
        template <class Stream>
        auto &operator()(packer<Stream> &out, const bilberry::TimePoint &value) const
        {
            return out.pack(value.time_since_epoch());
        }
    };
    template <> struct convert<bilberry::TimePoint, void>
    {
        const msgpack::object &operator()(const msgpack::object &in,
                                          bilberry::TimePoint &value) const
        {
            value = bilberry::TimePoint(in.as<bilberry::Duration>());
            return in;
        }
    };

    template <bilberry::WireEnum T> struct pack<T, void>
    {
        template <class Stream> auto &operator()(packer<Stream> &out, const T &value) const
        {
            return out.pack(static_cast<int>(value));
        }
    };
    template <bilberry::WireEnum T> struct convert<T, void>
    {
        const msgpack::object &operator()(const msgpack::object &in, T &value) const
        {
            value = static_cast<T>(in.as<int>());
            return in;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace bilberry {

namespace {

template <class T> std::string packValue(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/** @return @p table as CBOR, not MessagePack: the table has many record types and changes rarely.
 */
std::string packTable(const std::shared_ptr<const TableDelta> &table, EncodedTable &tableCache)
{
    if (table->full) {
        if (tableCache.bytes.empty() || tableCache.version != table->version) {
            tableCache.version = table->version;
            tableCache.bytes = encode(*table);
        }
        return tableCache.bytes;
    }
    if (table->records.size() < MIN_SHARED_RECORDS)
        return encode(*table);
    if (tableCache.changes != table) {
        tableCache.changes = table;
        tableCache.changesBytes = encode(*table);
    }
    return tableCache.changesBytes;
}

constexpr std::size_t MAX_ENCODED_ANNOUNCEMENTS = 512; ///< Of the cache; then it starts anew.

using GrantPacker = msgpack::packer<msgpack::sbuffer>;

/** @return The announcement as MessagePack. */
const std::string &packAnnouncement(const std::shared_ptr<const TargetAnnouncement> &announcement,
                                    EncodedTable &cache)
{
    const auto known = cache.announcements.find(announcement);
    if (known != cache.announcements.end())
        return known->second;
    if (cache.announcements.size() >= MAX_ENCODED_ANNOUNCEMENTS)
        cache.announcements.clear();
    return cache.announcements.emplace(announcement, packValue(*announcement)).first->second;
}

/** Encodes a struct as Fields<T> does, each field by @p packField. */
template <class T, class PackField>
void packFields(GrantPacker &packer, const T &value, const PackField &packField)
{
    const auto fields = Fields<T>::of(value);
    packer.pack_array(std::tuple_size_v<decltype(fields)>);
    std::apply([&](const auto &...field) { (packField(field), ...); }, fields);
}

void packRegistry(GrantPacker &packer, const RegistryDelta &delta, EncodedTable &cache)
{
    packFields(packer, delta, [&]<class T>(const T &field) {
        if constexpr (std::is_same_v<T, decltype(RegistryDelta::changed)>) {
            packer.pack_array(static_cast<std::uint32_t>(field.size()));
            for (const auto &announcement : field) {
                const std::string &bytes = packAnnouncement(announcement, cache);
                // Writes bytes that are encoded already, without a header.
                packer.pack_str_body(bytes.data(), static_cast<std::uint32_t>(bytes.size()));
            }
        } else {
            packer.pack(field);
        }
    });
}

template <class T> Result<T> unpackValue(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<T>();
    } catch (const msgpack::unpack_error &) {
        return Errc::Malformed;
    } catch (const msgpack::type_error &) {
        return Errc::Malformed;
    }
}

} // namespace

std::string packReport(const HostReport &report)
{
    return packValue(report);
}

Result<HostReport> unpackReport(std::string_view bytes)
{
    return unpackValue<HostReport>(bytes);
}

std::string packGrant(const HostGrant &grant, EncodedTable &tableCache)
{
    const std::string table = grant.table ? packTable(grant.table, tableCache) : std::string();
    msgpack::sbuffer buffer;
    GrantPacker packer(buffer);
    packer.pack_array(2);
    packFields(packer, grant, [&]<class T>(const T &field) {
        if constexpr (std::is_same_v<T, std::optional<RegistryDelta>>) {
            if (field)
                packRegistry(packer, *field, tableCache);
            else
                packer.pack_nil();
        } else {
            packer.pack(field);
        }
    });
    packer.pack(table);
    return {buffer.data(), buffer.size()};
}

Result<HostGrant> unpackGrant(std::string_view bytes)
{
    using GrantAndTable = std::tuple<HostGrant, std::string>;
    BOOST_OUTCOME_TRY(content, unpackValue<GrantAndTable>(bytes));
    auto &[grant, table] = content;
    if (!table.empty()) {
        BOOST_OUTCOME_TRY(delta, decode<TableDelta>(table));
        grant.table = std::make_shared<const TableDelta>(std::move(delta));
    }
    return std::move(grant);
}

} // namespace bilberry
