/** @file view_func.h Reads and changes the tables by record. */
#pragma once

#include "state/view_base.h"

namespace bilberry {

/** @return Text of a table's key, as it stands in a RecordKey. */
inline std::string idText(const std::string &id)
{
    return id;
}

template <class Tag> std::string idText(const StrongType<Tag, std::string> &id)
{
    return id.value;
}

/** @return Id of a replica's record: target, model and adapter. */
std::string replicaId(const TargetId &target, const Variant &variant);

/** Puts or removes one record. @return Errc::Malformed if the body does not fit the kind. */
Result<void> applyRecord(View &view, const Record &record);

/** @return The record, with a null body if there is none. */
Record readRecord(const View &view, const RecordKey &key);

/** @return Keys of all records. */
std::vector<RecordKey> allRecords(const View &view);

/** @return Whether @p account may call @p variant. */
bool mayCallVariant(const Account &account, const Variant &variant);

/** @return Whether @p account may call @p route. */
bool mayCallRoute(const Account &account, const RouteId &route);

/**
 * @param secret digestOf() of the presented secret alone.
 * @return The account of a presented key, or null if the key is unknown, wrong or withdrawn.
 */
const Account *accountOfKey(const View &view, const KeyId &id, const Digest &secret);

/** @return Whether the operator lets new work go to the target. */
bool acceptsWork(const View &view, const TargetId &target, const ZoneId &zone);

} // namespace bilberry
