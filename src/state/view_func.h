/** @file view_func.h Reads and changes records of the tables, and answers queries on them. */
#pragma once

#include "state/view_base.h"
#include "target/target_type.h"

namespace bilberry {

/** @return Key of a table entry as text, as used in RecordKey::id. */
inline std::string toText(const std::string &id)
{
    return id;
}

/** @overload */
template <class Tag> std::string toText(const StrongType<Tag, std::string> &id)
{
    return id.value;
}

/** @return Record id of a replica: "target/model:adapter". */
std::string replicaId(const TargetId &target, const Variant &variant);

/**
 * Sets one record, or removes it if its body is null.
 * @return Errc::Malformed if the body does not fit the kind.
 */
Result<void> applyRecord(ClusterView &view, const Record &record);

/** @return The record, with a null body if it does not exist. */
Record readRecord(const ClusterView &view, const RecordKey &key);

/** @return Keys of all records of all tables. */
std::vector<RecordKey> allRecords(const ClusterView &view);

/** @return Whether @p account may call @p variant. */
bool mayCallVariant(const Account &account, const Variant &variant);

/** @return Whether @p account may call @p route. */
bool mayCallRoute(const Account &account, const RouteId &route);

/**
 * Authenticates a caller by key.
 * @param id Id of the key that the caller presents.
 * @param secret digestOf({secret}) of the secret that the caller presents, unsalted.
 * @return Account of the key, or null if the key does not exist or the secret does not match.
 */
const Account *authenticateKey(const ClusterView &view, const KeyId &id, const Digest &secret);

/**
 * @return Whether the target may get new work: operators have not drained it or taken its zone out
 *         of service, and this incarnation of it has not announced its shutdown.
 */
bool acceptsWork(const ClusterView &view, const TargetAnnouncement &target);

} // namespace bilberry
