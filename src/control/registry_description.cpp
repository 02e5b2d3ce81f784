/** @file registry_description.cpp Describes targets to hosts; all hosts share a description. */
#include "control/control_internal.h"

#include "state/view_func.h"
#include "target/registry_func.h"

#include <algorithm>

namespace bilberry {

namespace {

/** The time left of a load and the loads themselves are described anew after this time. */
constexpr Duration MAX_DESCRIPTION_AGE = 100ms;

/** @return Configured load time of the replica's model; 0 if the model is not configured. */
Duration loadTime(const Control &control, const Replica &replica)
{
    const auto model = control.cluster.view.models.find(replica.variant.model);
    if (model == control.cluster.view.models.end())
        return Duration::zero();
    const bool cached = control.leadership->planner.loadsFromCache.contains(
        replicaId(replica.target, replica.variant));
    return fromSeconds(cached ? model->second.cachedLoadSeconds : model->second.loadSeconds);
}

/** Adds loads in progress with their expected remaining time. */
void addLoads(const Control &control, TargetAnnouncement &announcement, TimePoint now)
{
    for (const auto &[id, order] : control.leadership->planner.orders) {
        if (order.target != announcement.id || order.order.action != OrderAction::Load)
            continue; // Checked first, as each delta has many targets and most orders are others'.
        const auto replica = control.cluster.view.replicas.find(id);
        if (replica == control.cluster.view.replicas.end())
            continue;
        announcement.loading.push_back(
            {order.order.variant,
             loadTimeLeft(control.leadership->planner, id, loadTime(control, replica->second),
                          order.sentAt, now)});
    }
}

/** Removes variants that are being unloaded, so that hosts send them no new requests. */
TargetAnnouncement withoutUnloading(const Control &control, TargetAnnouncement announcement)
{
    std::erase_if(announcement.loaded, [&](const LoadedVariant &loaded) {
        const auto replica
            = control.cluster.view.replicas.find(replicaId(announcement.id, loaded.variant));
        return replica != control.cluster.view.replicas.end()
            && replica->second.state == ReplicaState::Unloading;
    });
    return announcement;
}

TargetAnnouncement describe(const Control &control, const TargetEntry &entry, TimePoint now)
{
    TargetAnnouncement description = withoutUnloading(control, entry.announcement);
    addLoads(control, description, now);
    description.failing = entry.failing;
    description.requestRate = entry.requestRate;
    return description;
}

/** @return The target's description, made anew unless the latest one still holds. */
TargetDescription &currentDescription(Control &control, const TargetEntry &entry, TimePoint now)
{
    TargetDescription &known = control.leadership->descriptions[entry.announcement.id];
    const bool isCurrent = known.full && known.modified == entry.modified
        && now < known.madeAt + MAX_DESCRIPTION_AGE;
    if (isCurrent)
        return known;
    known.modified = entry.modified;
    known.madeAt = now;
    known.full = std::make_shared<const TargetAnnouncement>(describe(control, entry, now));
    known.withoutCached.reset();
    return known;
}

} // namespace

RegistryDelta describeChanges(Control &control, std::uint64_t epoch, Version known, TimePoint now)
{
    const auto describeOnce = [&](const TargetEntry &entry, bool cachedIsKnown) {
        TargetDescription &description = currentDescription(control, entry, now);
        if (!cachedIsKnown)
            return description.full;
        if (!description.withoutCached)
            description.withoutCached
                = std::make_shared<const TargetAnnouncement>(withoutCached(*description.full));
        return description.withoutCached;
    };
    return deltaSince(control.leadership->registry, epoch, known, describeOnce);
}

} // namespace bilberry
