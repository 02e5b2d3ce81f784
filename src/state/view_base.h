/** @file view_base.h Tables of configuration records, replicated to every host. */
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

/** Identifies one record. */
struct RecordKey
{
    RecordKind kind = RecordKind::Account;
    std::string id; ///< Key within the table, as text.

    friend bool operator==(const RecordKey &, const RecordKey &) = default;
    friend auto operator<=>(const RecordKey &, const RecordKey &) = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RecordKey, kind, id)

/** Content of one record. */
struct Record
{
    RecordKey key;
    nlohmann::json body; ///< Encoded value; null: the record is removed.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Record, key, body)

/** All tables. Hosts get them without the replicas, which only control members hold. */
struct ClusterView
{
    std::map<AccountId, Account> accounts;
    std::map<KeyId, Key> keys;
    std::map<ModelId, Model> models;
    std::map<RouteId, Route> routes;
    std::map<TargetId, TargetPolicy> targets;
    std::map<ZoneId, ZonePolicy> zones;
    std::map<std::string, Replica> replicas; ///< Keyed by replicaId().
    std::map<std::string, ServicePolicy> services; ///< Keyed by service name.
    std::map<Digest, Quarantine> quarantines; ///< Keyed by request digest.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClusterView, accounts, keys, models, routes,
                                                targets, zones, replicas, services, quarantines)

} // namespace bilberry
