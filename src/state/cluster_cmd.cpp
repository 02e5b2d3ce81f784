/** @file cluster_cmd.cpp Applies the commands of the replicated state machine. */
#include "state/cluster_func.h"

#include "call/call_func.h"
#include "duty/duty_grant_func.h"
#include "duty/usage_func.h"
#include "state/change_func.h"
#include "state/view_func.h"
#include "stream/stream_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/**
 * Sets a record, or removes it if @p body is null; a record whose content does not change keeps its
 * version.
 */
void putRecord(Cluster &cluster, const RecordKey &key, const nlohmann::json &body)
{
    if (readRecord(cluster.view, key).body == body)
        return;
    const Result<void> applied = applyRecord(cluster.view, {key, body});
    if (!applied)
        return;
    cluster.modified[key] = Version(++cluster.version.value);
    if (key.kind != RecordKind::Replica)
        cluster.hostsVersion = cluster.version;
}

/**
 * Updates the records of one table from the entries of the old configuration to those of the new
 * one.
 */
template <class Id, class Entry>
void updateTable(Cluster &cluster, RecordKind kind, const std::map<Id, Entry> &before,
                 const std::map<Id, Entry> &next)
{
    for (const auto &[id, entry] : before) {
        if (!next.contains(id))
            putRecord(cluster, {kind, toText(id)}, nullptr);
    }
    for (const auto &[id, entry] : next) {
        // Most entries do not change, and comparing them is cheaper than encoding them.
        const auto old = before.find(id);
        if (old == before.end() || old->second != entry)
            putRecord(cluster, {kind, toText(id)}, entry);
    }
}

CommandOutcome failure(Errc error, Version version = {})
{
    CommandOutcome outcome;
    outcome.error = error;
    outcome.version = version;
    return outcome;
}

CommandOutcome success(const Cluster &cluster)
{
    CommandOutcome outcome;
    outcome.version = cluster.version;
    return outcome;
}

/** @return Policy of the target; the default one if it has none. */
TargetPolicy presentPolicy(const Cluster &cluster, const TargetId &target)
{
    const auto present = cluster.view.targets.find(target);
    if (present != cluster.view.targets.end())
        return present->second;
    TargetPolicy policy;
    policy.id = target;
    return policy;
}

/** Sets the policy of a target; removes its record if the policy says nothing. */
void putPolicy(Cluster &cluster, const TargetPolicy &policy)
{
    TargetPolicy none;
    none.id = policy.id;
    const bool configured = cluster.folder.targets.contains(policy.id);
    const RecordKey key{RecordKind::Target, policy.id.value};
    if (policy == none && !configured)
        putRecord(cluster, key, nullptr);
    else
        putRecord(cluster, key, policy);
}

void replaceConfiguration(Cluster &cluster, const FolderConfig &next)
{
    const FolderConfig before = std::move(cluster.folder);
    cluster.folder = next;
    updateTable(cluster, RecordKind::Account, before.accounts, next.accounts);
    updateTable(cluster, RecordKind::Model, before.models, next.models);
    updateTable(cluster, RecordKind::Service, before.services, next.services);
    updateTable(cluster, RecordKind::Route, before.routes, next.routes);
    for (const auto &[id, policy] : before.targets) {
        if (next.targets.contains(id))
            continue;
        TargetPolicy kept = presentPolicy(cluster, id);
        kept.checksFencing = kept.leaving = false;
        putPolicy(cluster, kept);
    }
    for (auto [id, policy] : next.targets) {
        // These do not come from the configuration.
        const TargetPolicy present = presentPolicy(cluster, id);
        policy.leaving = present.leaving;
        policy.shutDown = present.shutDown;
        policy.shutDownKeptUntil = present.shutDownKeptUntil;
        putRecord(cluster, {RecordKind::Target, id.value}, policy);
    }
    cluster.configVersion = Version(++cluster.version.value);
}

CommandOutcome execute(Cluster &cluster, const ApplyConfig &command)
{
    if (command.base != cluster.configVersion)
        return failure(Errc::VersionConflict, cluster.configVersion);
    replaceConfiguration(cluster, command.config);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const ReplaceConfig &command)
{
    // An outdated or repeated number is acknowledged without any change.
    if (command.number <= cluster.number)
        return success(cluster);
    cluster.number = command.number;
    cluster.document = command.document;
    updateTable(cluster, RecordKind::Key, cluster.folder.keys, command.config.keys);
    replaceConfiguration(cluster, command.config);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const GrantKey &command)
{
    if (!cluster.view.accounts.contains(command.key.account))
        return failure(Errc::NotFound);
    if (cluster.view.keys.contains(command.key.id))
        return failure(Errc::AlreadyExists);
    putRecord(cluster, {RecordKind::Key, command.key.id.value}, command.key);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const WithdrawKey &command)
{
    if (!cluster.view.keys.contains(command.key))
        return failure(Errc::NotFound);
    putRecord(cluster, {RecordKind::Key, command.key.value}, nullptr);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const SetZone &command)
{
    putRecord(cluster, {RecordKind::Zone, command.zone.id.value}, command.zone);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const SetTargetLeaving &command)
{
    TargetPolicy policy = presentPolicy(cluster, command.target);
    policy.leaving = command.leaving;
    putRecord(cluster, {RecordKind::Target, command.target.value}, policy);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const BeginCall &command)
{
    CommandOutcome outcome = success(cluster);
    outcome.verdict
        = beginCall(cluster.calls, command.id, command.body, command.owner, cluster.clock);
    if (outcome.verdict == CallVerdict::Replay)
        outcome.answer = cluster.calls.records.at(command.id).answer;
    return outcome;
}

CommandOutcome execute(Cluster &cluster, const EndCall &command)
{
    CommandOutcome outcome = success(cluster);
    if (endCall(cluster.calls, command.id, command.owner, command.end, command.answer))
        outcome.ended = {command.id};
    return outcome;
}

CommandOutcome execute(Cluster &cluster, const EndHostRun &command)
{
    CommandOutcome outcome = success(cluster);
    outcome.ended = markOwnerLost(cluster.calls, command.host, command.run);
    return outcome;
}

CommandOutcome execute(Cluster &cluster, const UpdateReplicas &command)
{
    for (const Replica &replica : command.put) {
        cluster.lastFencing = std::max(cluster.lastFencing, replica.fencing);
        putRecord(cluster, {RecordKind::Replica, replicaId(replica.target, replica.variant)},
                  replica);
    }
    for (const std::string &id : command.gone)
        putRecord(cluster, {RecordKind::Replica, id}, nullptr);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const SetQuarantine &command)
{
    putRecord(cluster, {RecordKind::Quarantine, command.quarantine.request.value},
              command.quarantine);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const RecordTargetShutdown &command)
{
    TargetPolicy policy = presentPolicy(cluster, command.target);
    if (policy.shutDown < command.start) {
        policy.shutDown = command.start;
        policy.shutDownKeptUntil = cluster.clock + TARGET_SHUTDOWN_RETENTION;
        putPolicy(cluster, policy);
    }
    return success(cluster);
}

void expireShutdowns(Cluster &cluster)
{
    const std::map<TargetId, TargetPolicy> targets = cluster.view.targets;
    for (auto [id, policy] : targets) {
        if (policy.shutDown == Incarnation() || policy.shutDownKeptUntil > cluster.clock)
            continue;
        policy.shutDown = {};
        policy.shutDownKeptUntil = {};
        putPolicy(cluster, policy);
    }
}

CommandOutcome execute(Cluster &cluster, const RemoveExpired &)
{
    expireShutdowns(cluster);
    expireCalls(cluster.calls, cluster.clock);
    expireStreams(cluster.streams, cluster.clock);
    const std::map<Digest, Quarantine> quarantines = cluster.view.quarantines;
    for (const auto &[id, quarantine] : quarantines) {
        if (quarantine.until <= cluster.clock)
            putRecord(cluster, {RecordKind::Quarantine, id.value}, nullptr);
    }
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const RecordStream &command)
{
    CommandOutcome outcome = success(cluster);
    outcome.origin = recordStream(cluster.streams, command.id, command.origin, command.owner,
                                  command.revision, cluster.clock);
    return outcome;
}

/** Sets an entry, or removes it if it says nothing but @p none. */
template <class Id, class Entry>
void putLending(std::map<Id, Entry> &table, const Id &id, const Entry &entry, const Entry &none)
{
    if (entry == none)
        table.erase(id);
    else
        table[id] = entry;
}

CommandOutcome execute(Cluster &cluster, const RecordLending &command)
{
    cluster.lendsWithinLimits = true;
    for (const AccountLending &item : command.accounts)
        putLending(cluster.accountLending, item.account, item, {item.account, {}, {}});
    for (const SlotLending &item : command.slots)
        putLending(cluster.slotLending, item.target, item, {item.target, item.start, {}});
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const GrantDuty &command)
{
    grantDuty(cluster.duties, command, cluster.clock);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const RecordUsage &command)
{
    recordUsage(cluster.usage, command);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const FixUsage &command)
{
    fixUsage(cluster.usage, command);
    return success(cluster);
}

CommandOutcome execute(Cluster &cluster, const UsageSent &command)
{
    markUsageSent(cluster.usage, command);
    return success(cluster);
}

template <class Body> constexpr bool HAS_CHANGE_ID = requires(const Body &body)
{
    body.changeId;
};

/**
 * Executes a change of a record if it is based on the present version of the record. Each change
 * with an outcome gets a version of its own, so that another one that is based on the same version
 * is not executed later.
 * @return Errc::VersionConflict if another change has had an outcome since.
 */
template <ChangesRecord Body>
CommandOutcome executeBasedOn(Cluster &cluster, const Body &body, Version base)
{
    const RecordKey key = recordOf(body);
    const Version present = changeVersion(cluster, key);
    if (present != base)
        return failure(Errc::VersionConflict, present);
    CommandOutcome outcome = execute(cluster, body);
    if (changeVersion(cluster, key) == present) {
        cluster.modified[key] = Version(++cluster.version.value);
        cluster.hostsVersion = cluster.version;
    }
    if (outcome.error == Errc::Ok)
        outcome.version = cluster.version;
    return outcome;
}

template <class Body>
CommandOutcome executeIfCurrent(Cluster &cluster, const Body &body, std::optional<Version> base)
{
    if constexpr (ChangesRecord<Body>) {
        if (base)
            return executeBasedOn(cluster, body, *base);
    }
    return execute(cluster, body);
}

/**
 * Executes a command with a change id at most once. A change that was refused because of its base
 * may be sent again with another base.
 * @return For a resend the first outcome; Errc::ChangeIdReused if its content differs.
 */
template <class Body>
CommandOutcome executeOnce(Cluster &cluster, const Body &body, std::optional<Version> base)
{
    const Digest content = digestOf({encode(body)});
    const auto known = std::find_if(
        cluster.changes.begin(), cluster.changes.end(),
        [&](const RecordedChange &change) { return change.changeId == body.changeId; });
    if (known != cluster.changes.end())
        return known->content == content ? known->outcome : failure(Errc::ChangeIdReused);
    CommandOutcome outcome = executeIfCurrent(cluster, body, base);
    if (base && outcome.error == Errc::VersionConflict)
        return outcome;
    cluster.changes.push_back({body.changeId, content, outcome});
    if (cluster.changes.size() > MAX_RECORDED_CHANGES)
        cluster.changes.pop_front();
    return outcome;
}

} // namespace

Version changeVersion(const Cluster &cluster, const RecordKey &key)
{
    const auto changed = cluster.modified.find(key);
    const Version own = changed == cluster.modified.end() ? Version() : changed->second;
    // A configuration may list keys, and then says of each one whether it is in force.
    return key.kind == RecordKind::Key ? std::max(own, cluster.configVersion) : own;
}

CommandOutcome apply(Cluster &cluster, const Command &command)
{
    cluster.clock = std::max(cluster.clock, command.clock);
    return std::visit(
        [&](const auto &body) {
            if constexpr (HAS_CHANGE_ID<std::decay_t<decltype(body)>>)
                return executeOnce(cluster, body, command.base);
            else
                return execute(cluster, body);
        },
        command.body);
}

CommandOutcome dryRun(const Cluster &cluster, const Command &command)
{
    Cluster copy = cluster;
    return apply(copy, command);
}

Result<Cluster> decodeCluster(std::string_view state)
{
    BOOST_OUTCOME_TRY(cluster, decode<Cluster>(state));
    for (const auto &[key, version] : cluster.modified) {
        if (key.kind != RecordKind::Replica)
            cluster.hostsVersion = std::max(cluster.hostsVersion, version);
    }
    return std::move(cluster);
}

TableDelta tableDeltaSince(const Cluster &cluster, Version known)
{
    TableDelta delta;
    delta.version = cluster.version;
    delta.full = known.value == 0 || known > cluster.version;
    const bool nothingNew = cluster.hostsVersion.value != 0 && known >= cluster.hostsVersion;
    if (known == cluster.version || (nothingNew && !delta.full))
        return delta;
    for (const auto &[key, version] : cluster.modified) {
        // Hosts learn from the target registry which models are loaded, so they get no replicas.
        if ((!delta.full && version <= known) || key.kind == RecordKind::Replica)
            continue;
        Record record = readRecord(cluster.view, key);
        if (!delta.full || !record.body.is_null())
            delta.records.push_back(std::move(record));
    }
    return delta;
}

Result<void> applyDelta(ClusterView &view, const TableDelta &delta)
{
    if (delta.full)
        view = ClusterView{};
    for (const Record &record : delta.records) {
        BOOST_OUTCOME_TRYV(applyRecord(view, record));
    }
    return boost::outcome_v2::success();
}

} // namespace bilberry
