/** @file view_base.h Typed tables of the shared configuration, kept alike on every host. */
#pragma once

#include "config/config_type.h"

#include <map>
#include <string>

namespace bilberry {

/** Table that a record belongs to. */
enum class RecordKind {
    Account,
    Key,
    Model,
    Route,
    Target,
    Zone,
    Replica,
    Service,
    Quarantine,
};

/** Names one record. */
struct RecordKey
{
    RecordKind kind = RecordKind::Account;
    std::string id;

    friend bool operator==(const RecordKey &, const RecordKey &) = default;
    friend auto operator<=>(const RecordKey &, const RecordKey &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordKey, kind, id)

/** Content of one record; null body: removed. */
struct Record
{
    RecordKey key;
    nlohmann::json body;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Record, key, body)

/** All tables. */
struct View
{
    std::map<AccountId, Account> accounts;
    std::map<KeyId, Key> keys;
    std::map<ModelId, Model> models;
    std::map<RouteId, Route> routes;
    std::map<TargetId, TargetPolicy> targets;
    std::map<ZoneId, ZonePolicy> zones;
    std::map<std::string, Replica> replicas; ///< By replicaId().
    std::map<std::string, ServicePolicy> services; ///< By name.
    std::map<Digest, Quarantine> quarantines;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(View, accounts, keys, models, routes, targets,
                                                zones, replicas, services, quarantines)

} // namespace bilberry
