/** @file view.cpp Reads and changes records of the tables, and answers queries on them. */
#include "state/view_func.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace bilberry {

namespace {

/** @return Result of @p visitor called with the table of @p kind. */
template <class ViewType, class Visitor>
auto withTable(ViewType &view, RecordKind kind, Visitor visitor)
{
    switch (kind) {
    case RecordKind::Account:
        return visitor(view.accounts);
    case RecordKind::Key:
        return visitor(view.keys);
    case RecordKind::Model:
        return visitor(view.models);
    case RecordKind::Route:
        return visitor(view.routes);
    case RecordKind::Target:
        return visitor(view.targets);
    case RecordKind::Zone:
        return visitor(view.zones);
    case RecordKind::Replica:
        return visitor(view.replicas);
    case RecordKind::Service:
        return visitor(view.services);
    case RecordKind::Quarantine:
        break;
    }
    return visitor(view.quarantines);
}

} // namespace

std::string replicaId(const TargetId &target, const Variant &variant)
{
    return absl::StrCat(target.value, "/", variant.model.value, ":", variant.adapter.value);
}

Result<void> applyRecord(ClusterView &view, const Record &record)
{
    return withTable(view, record.key.kind, [&](auto &table) -> Result<void> {
        using Table = std::decay_t<decltype(table)>;
        const typename Table::key_type id{record.key.id};
        if (record.body.is_null()) {
            table.erase(id);
            return boost::outcome_v2::success();
        }
        try {
            table[id] = record.body.get<typename Table::mapped_type>();
        } catch (const nlohmann::json::exception &) {
            return Errc::Malformed;
        }
        return boost::outcome_v2::success();
    });
}

Record readRecord(const ClusterView &view, const RecordKey &key)
{
    return withTable(view, key.kind, [&](const auto &table) {
        using Table = std::decay_t<decltype(table)>;
        const auto it = table.find(typename Table::key_type{key.id});
        return Record{key, it == table.end() ? nlohmann::json() : nlohmann::json(it->second)};
    });
}

std::vector<RecordKey> allRecords(const ClusterView &view)
{
    std::vector<RecordKey> keys;
    for (int kind = 0; kind <= static_cast<int>(RecordKind::Quarantine); ++kind) {
        withTable(view, static_cast<RecordKind>(kind), [&](const auto &table) {
            for (const auto &[id, entry] : table)
                keys.push_back({static_cast<RecordKind>(kind), toText(id)});
        });
    }
    return keys;
}

bool mayCallVariant(const Account &account, const Variant &variant)
{
    const std::string variantName = absl::StrCat(variant.model.value, ":", variant.adapter.value);
    return std::any_of(account.models.begin(), account.models.end(), [&](const std::string &name) {
        return name == "*" || name == variant.model.value || name == variantName;
    });
}

bool mayCallRoute(const Account &account, const RouteId &route)
{
    return std::any_of(account.routes.begin(), account.routes.end(),
                       [&](const std::string &name) { return name == "*" || name == route.value; });
}

const Account *authenticateKey(const ClusterView &view, const KeyId &id, const Digest &secret)
{
    const auto key = view.keys.find(id);
    if (key == view.keys.end())
        return nullptr;
    const Digest digest = digestOf({key->second.salt, secret.value});
    if (!equalConstantTime(digest.value, key->second.digest.value))
        return nullptr;
    const auto account = view.accounts.find(key->second.account);
    return account == view.accounts.end() ? nullptr : &account->second;
}

bool acceptsWork(const ClusterView &view, const TargetAnnouncement &target)
{
    const auto zonePolicy = view.zones.find(target.zone);
    if (zonePolicy != view.zones.end() && zonePolicy->second.out)
        return false;
    const auto policy = view.targets.find(target.id);
    if (policy == view.targets.end())
        return true;
    const bool shutsDown
        = policy->second.shutDown != Incarnation() && policy->second.shutDown >= target.start;
    return !policy->second.leaving && !shutsDown;
}

} // namespace bilberry
