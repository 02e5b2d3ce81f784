/** @file registry.cpp Target registry: applies announcements and computes deltas for hosts. */
#include "target/registry_func.h"

namespace bilberry {

namespace {

/** @return Whether an announcement was sent before its target left or timed out. */
bool isFromEndedTarget(const TargetRegistry &registry, const TargetAnnouncement &announcement,
                       TimePoint now)
{
    const auto it = registry.ended.find(announcement.id);
    if (it == registry.ended.end() || announcement.start > it->second.start
        || now >= it->second.endedAt + ENDED_TARGET_RETENTION)
        return false;
    const bool late = announcement.sequence > 0 && announcement.sequence <= it->second.sequence;
    return announcement.start < it->second.start || it->second.left || late;
}

} // namespace

bool followsInSequence(const TargetAnnouncement &last, const TargetAnnouncement &next)
{
    return next.sequence >= last.sequence && next.sequence - last.sequence <= MAX_SEQUENCE_STEP;
}

AnnounceOutcome applyAnnouncement(TargetRegistry &registry, const TargetAnnouncement &announcement,
                                  TimePoint now)
{
    const auto it = registry.targets.find(announcement.id);
    const bool known = it != registry.targets.end();
    if (!known && isFromEndedTarget(registry, announcement, now))
        return AnnounceOutcome::Stale;
    if (known && announcement.start < it->second.announcement.start)
        return AnnounceOutcome::Stale;
    const bool restarted = !known || announcement.start > it->second.announcement.start;
    if (!restarted && !followsInSequence(it->second.announcement, announcement))
        return AnnounceOutcome::Stale;
    TargetEntry &entry = registry.targets[announcement.id];
    entry.heard = now;
    if (restarted) {
        entry.left = false;
        entry.requestRate.reset();
    }
    if (entry.left)
        return AnnounceOutcome::Unchanged;
    if (!restarted && equalExceptSequence(entry.announcement, announcement)) {
        entry.announcement.sequence = announcement.sequence;
        return AnnounceOutcome::Unchanged;
    }
    const bool cachedChanged = restarted || entry.announcement.cached != announcement.cached;
    entry.announcement = announcement;
    markModified(registry, entry);
    if (cachedChanged)
        entry.cachedModified = entry.modified;
    registry.removed.erase(announcement.id);
    return restarted ? AnnounceOutcome::Restarted : AnnounceOutcome::Changed;
}

void markModified(TargetRegistry &registry, TargetEntry &entry)
{
    registry.byModified.erase(entry.modified);
    entry.modified = Version(++registry.version.value);
    registry.byModified[entry.modified] = entry.announcement.id;
}

void markTargetLeaving(TargetRegistry &registry, const TargetId &target)
{
    const auto it = registry.targets.find(target);
    if (it == registry.targets.end() || it->second.left)
        return;
    it->second.left = true;
    it->second.announcement.leaving = true;
    markModified(registry, it->second);
}

std::vector<TargetId> removeTimedOutTargets(TargetRegistry &registry, TimePoint now)
{
    std::vector<TargetId> dropped;
    for (auto it = registry.targets.begin(); it != registry.targets.end();) {
        if (now - it->second.heard < TARGET_HEARTBEAT_TIMEOUT) {
            ++it;
            continue;
        }
        dropped.push_back(it->first);
        const TargetAnnouncement &last = it->second.announcement;
        if (registry.ended.size() < MAX_ENDED_TARGETS)
            registry.ended[it->first] = {last.start, last.sequence, it->second.left, now};
        registry.removed[it->first] = Version(++registry.version.value);
        registry.byModified.erase(it->second.modified);
        it = registry.targets.erase(it);
    }
    return dropped;
}

TargetAnnouncement withoutCached(const TargetAnnouncement &announcement)
{
    TargetAnnouncement out;
    out.id = announcement.id;
    out.address = announcement.address;
    out.kind = announcement.kind;
    out.zone = announcement.zone;
    out.service = announcement.service;
    out.memoryMb = announcement.memoryMb;
    out.maxConcurrent = announcement.maxConcurrent;
    out.start = announcement.start;
    out.loaded = announcement.loaded;
    out.loading = announcement.loading;
    out.failing = announcement.failing;
    out.leaving = announcement.leaving;
    out.lastOrder = announcement.lastOrder;
    out.failedOrders = announcement.failedOrders;
    out.coldFor = announcement.coldFor;
    out.sequence = announcement.sequence;
    out.requestRate = announcement.requestRate;
    out.softwareVersion = announcement.softwareVersion;
    out.cachedIsKnown = true;
    return out;
}

std::shared_ptr<const TargetAnnouncement> describeAsAnnounced(const TargetEntry &entry,
                                                              bool cachedIsKnown)
{
    return std::make_shared<const TargetAnnouncement>(
        cachedIsKnown ? withoutCached(entry.announcement) : entry.announcement);
}

RegistryDelta deltaSince(const TargetRegistry &registry, std::uint64_t epoch, Version known,
                         const DescribeTarget &describe)
{
    RegistryDelta delta;
    delta.epoch = registry.epoch;
    delta.version = registry.version;
    delta.full = epoch != registry.epoch;
    const auto first
        = delta.full ? registry.byModified.begin() : registry.byModified.upper_bound(known);
    for (auto it = first; it != registry.byModified.end(); ++it) {
        const TargetEntry &entry = registry.targets.at(it->second);
        delta.changed.push_back(describe(entry, !delta.full && entry.cachedModified <= known));
    }
    for (const auto &[id, version] : registry.removed) {
        if (!delta.full && version > known)
            delta.removed.push_back(id);
    }
    return delta;
}

} // namespace bilberry
