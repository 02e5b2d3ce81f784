/** @file usage_cmd.cpp Records, fixes and reports usage windows. */
#include "control/control_internal.h"

#include "duty/true_time_func.h"
#include "duty/usage_func.h"

#include <algorithm>

namespace bilberry {

namespace {

const DutyKey USAGE_DUTY{DutyKind::Usage, {}, {}};

constexpr Duration CLOCK_INTERVAL = 250ms; ///< Time between two estimates of the true time.
constexpr Duration RECORD_INTERVAL = 1s; ///< Time between two RecordUsage commands.
constexpr Duration FIX_INTERVAL = 100ms; ///< Time between two checks for windows to be fixed.
/** By then, the hosts have connected to a new leader and reported what it does not know. */
constexpr Duration NEW_LEADER_GRACE = 2s;
/** A report that comes so long after a window has all of its counts: hosts report counts each
 * 200 ms, and their clocks differ from the leader's by the round trip at most. */
constexpr Duration REPORT_MARGIN = 300ms;
/** Windows that one command fixes, so that it takes no long step to apply; an hour of 5 s each. */
constexpr WindowId MAX_FIXED_AT_ONCE = 720;
/** Unsent reports; bounds the memory while the interface is down. Fixing goes on as they are
 * accepted. A day of 5 s each. */
constexpr std::size_t MAX_UNSENT_WINDOWS = 17'280;
/** Longer than any call may take: a call without a reply by then was lost in this daemon. */
constexpr Duration CALL_TIMEOUT = 5s;

bool countsUsage(const Control &control)
{
    return control.duties.reportsUsage && control.duties.window > Duration::zero();
}

Result<void> proposeUsage(Control &control, CommandBody body, ControlEffects &effects,
                          TimePoint now)
{
    PendingCommand pending;
    pending.kind = PendingCommand::Kind::Duty;
    return proposeCommand(control, std::move(body), pending, effects, now);
}

/** @return True time of @p at, since 1970. */
Duration trueTime(const UsageDuty &usage, TimePoint at)
{
    return *usage.clockOffset + at.time_since_epoch();
}

void estimateTrueTime(Leadership &leadership, TimePoint now)
{
    UsageDuty &usage = leadership.usage;
    if (now < usage.clockDue)
        return;
    usage.clockDue = now + CLOCK_INTERVAL;
    std::vector<Duration> offsets;
    for (const auto &[id, host] : leadership.hosts) {
        if (host.clockOffset && now < host.leaseEnds)
            offsets.push_back(*host.clockOffset);
    }
    const std::optional<Duration> offset
        = estimateClockOffset(std::move(offsets), now - leadership.electedAt);
    if (offset)
        usage.clockOffset = offset;
}

void logLate(const UsageWindows &windows, const HolderUsage &use, ControlEffects &effects)
{
    const std::int64_t late = lateCount(windows, use);
    if (late > 0)
        effects.logEvents.push_back({"usageLate",
                                     {{"window", use.window},
                                      {"by", use.holder.host},
                                      {"requests", late},
                                      {"fixedUpTo", windows.fixedUpTo}}});
}

/** Proposes to record what hosts have reported since the last time. */
void recordReported(Control &control, ControlEffects &effects, TimePoint now)
{
    UsageDuty &usage = control.leadership->usage;
    usage.recordDue = now + RECORD_INTERVAL;
    if (usage.unrecorded.empty())
        return;
    RecordUsage command;
    for (auto &[holder, reported] : usage.unrecorded) {
        for (auto &[window, counts] : reported.windows) {
            command.uses.push_back({holder, reported.sequence, window, std::move(counts)});
            logLate(control.cluster.usage, command.uses.back(), effects);
        }
    }
    // Hosts repeat what is not recorded, so that nothing is lost if the proposal fails.
    usage.unrecorded.clear();
    (void)proposeUsage(control, std::move(command), effects, now);
}

/** @return Whether all hosts with recorded totals of the window have reported since @p end, as far
 * as their reports to an earlier leader tell. */
bool haveCountersReported(const Control &control, WindowId window, Duration end)
{
    const Leadership &leadership = *control.leadership;
    const auto open = control.cluster.usage.open.find(window);
    if (open == control.cluster.usage.open.end())
        return true;
    return std::all_of(open->second.begin(), open->second.end(), [&](const auto &item) {
        const auto host = leadership.hosts.find(item.first.host);
        return host != leadership.hosts.end()
            && trueTime(leadership.usage, host->second.lastReportAt) >= end;
    });
}

/** @return Whether all hosts that have reported in the window or later have reported since its end.
 */
bool isComplete(const Control &control, WindowId window)
{
    const Leadership &leadership = *control.leadership;
    const Duration begin = windowBegin(window, control.duties.window);
    const Duration end = windowBegin(window + 1, control.duties.window) + REPORT_MARGIN;
    if (!haveCountersReported(control, window, end))
        return false;
    return std::all_of(leadership.hosts.begin(), leadership.hosts.end(), [&](const auto &item) {
        const Duration reported = trueTime(leadership.usage, item.second.lastReportAt);
        return reported < begin || reported >= end;
    });
}

/** @return Last window that ended at least @p age ago. */
WindowId lastEnded(const Control &control, Duration age, TimePoint now)
{
    const Duration time = trueTime(control.leadership->usage, now) - age;
    return windowAt(time, control.duties.window) - 1;
}

/**
 * @return Last window to be fixed now. Requests whose answers are no streams are known at their
 * end, so that a window stays open for a quarter of the time until its report is due; for half of
 * it if hosts have not reported since its end.
 */
WindowId lastToFix(const Control &control, TimePoint now)
{
    const WindowId settled = lastEnded(control, control.duties.usageDue / 4, now);
    const WindowId expired = lastEnded(control, control.duties.usageDue / 2, now);
    const bool check = settled > expired && settled > control.cluster.usage.fixedUpTo;
    return check && isComplete(control, settled) ? settled : expired;
}

void logWrongLength(Control &control, ControlEffects &effects)
{
    UsageDuty &usage = control.leadership->usage;
    if (usage.lengthLogged)
        return;
    usage.lengthLogged = true;
    effects.logEvents.push_back({"usageLengthDiffers",
                                 {{"recordedMs", toMilliseconds(control.cluster.usage.length)},
                                  {"settingMs", toMilliseconds(control.duties.window)}}});
}

/** @return Command that fixes what is due, if anything is. */
std::optional<FixUsage> dueFix(const Control &control, TimePoint now)
{
    const UsageWindows &windows = control.cluster.usage;
    const Leadership &leadership = *control.leadership;
    const Duration length = control.duties.window;
    if (windows.fixedUpTo == 0) {
        const Duration elected = trueTime(leadership.usage, leadership.electedAt);
        return FixUsage{windowAt(elected, length) - 1, length, true};
    }
    if (windows.fixed.size() >= MAX_UNSENT_WINDOWS)
        return std::nullopt;
    const WindowId upTo = std::min(lastToFix(control, now), windows.fixedUpTo + MAX_FIXED_AT_ONCE);
    if (upTo <= windows.fixedUpTo)
        return std::nullopt;
    return FixUsage{upTo, length, false};
}

void fixEnded(Control &control, ControlEffects &effects, TimePoint now)
{
    UsageDuty &usage = control.leadership->usage;
    usage.fixDue = now + FIX_INTERVAL;
    const bool early = now < control.leadership->electedAt + NEW_LEADER_GRACE;
    if (!usage.clockOffset || usage.fixPending || early)
        return;
    const UsageWindows &windows = control.cluster.usage;
    if (windows.fixedUpTo != 0 && windows.length != control.duties.window) {
        logWrongLength(control, effects);
        return;
    }
    const std::optional<FixUsage> fix = dueFix(control, now);
    if (!fix)
        return;
    // What has been reported so far precedes the fix in the log.
    recordReported(control, effects, now);
    if (!control.leadership)
        return;
    control.leadership->usage.fixPending = true;
    if (!proposeUsage(control, *fix, effects, now) && control.leadership)
        control.leadership->usage.fixPending = false;
}

/** Makes the call for the oldest window that is fixed and not accepted. */
void sendOldest(Control &control, FencingToken fencing, ControlEffects &effects, TimePoint now)
{
    UsageDuty &usage = control.leadership->usage;
    const auto &fixed = control.cluster.usage.fixed;
    if (usage.sentPending || fixed.empty())
        return;
    if (usage.call && now < usage.callTimesOut)
        return;
    const auto &[window, counts] = *fixed.begin();
    usage.call
        = makeDutyCall(control, USAGE_DUTY, fencing, UsageReport{window, counts}, effects, now);
    usage.callWindow = window;
    usage.callTimesOut = now + CALL_TIMEOUT;
}

void onRecorded(Leadership &leadership, const RecordUsage &command)
{
    for (const HolderUsage &use : command.uses) {
        const auto host = leadership.hosts.find(use.holder.host);
        if (host == leadership.hosts.end() || host->second.run != use.holder.run)
            continue;
        std::uint64_t &recorded = host->second.usageRecordedIn;
        recorded = std::max(recorded, use.sequence);
    }
}

void onFixed(Control &control, const FixUsage &command, ControlEffects &effects)
{
    control.leadership->usage.fixPending = false;
    const UsageWindows &windows = control.cluster.usage;
    const auto fixed = windows.fixed.find(command.upTo);
    nlohmann::json line{{"window", command.upTo}, {"unsent", windows.fixed.size()}};
    if (command.begins)
        line["begins"] = true;
    if (fixed != windows.fixed.end()) {
        line["accounts"] = fixed->second.size();
        line["requests"] = totalOf(fixed->second);
    }
    effects.logEvents.push_back({"usageFixed", std::move(line)});
}

void onSent(Control &control, const UsageSent &command, ControlEffects &effects)
{
    control.leadership->usage.sentPending = false;
    const UsageDuty &usage = control.leadership->usage;
    if (!command.accepted)
        return; // The refusal was logged with its status.
    nlohmann::json line{{"window", command.window},
                        {"unsent", control.cluster.usage.fixed.size()},
                        {"sinceEndMs", nullptr}};
    if (usage.clockOffset) {
        const Duration end = windowBegin(command.window + 1, control.cluster.usage.length);
        line["sinceEndMs"] = toMilliseconds(trueTime(usage, control.now) - end);
    }
    effects.logEvents.push_back({"usageSent", std::move(line)});
}

/** Keeps the totals of a report that the log does not have. @return Whether there are any. */
bool keepUnrecorded(Control &control, const HostReport &report)
{
    UsageDuty &usage = control.leadership->usage;
    bool changed = false;
    for (const WindowUse &use : report.usage) {
        for (const AccountDemand &total : use.accounts) {
            const std::int64_t recorded
                = recordedCount(control.cluster.usage, report.holder, use.window, total.account);
            if (total.demand <= recorded)
                continue;
            usage.unrecorded[report.holder].windows[use.window][total.account] = total.demand;
            changed = true;
        }
    }
    return changed;
}

} // namespace

void noteUsage(Control &control, const HostReport &report, HostGrant &grant, TimePoint now)
{
    if (!countsUsage(control))
        return;
    UsageDuty &usage = control.leadership->usage;
    HostEntry &host = control.leadership->hosts.at(report.holder.host);
    host.clockOffset.reset();
    if (report.unixMs != 0)
        host.clockOffset = std::chrono::milliseconds(report.unixMs) - now.time_since_epoch();
    if (usage.clockOffset)
        grant.unixMs = toMilliseconds(trueTime(usage, now));
    // Before the entries of earlier leaders are applied, this member does not know what they have
    // recorded and fixed; hosts report again.
    if (!control.leadership->active)
        return;
    if (keepUnrecorded(control, report))
        usage.unrecorded[report.holder].sequence = report.sequence;
    else if (!report.usage.empty() && !usage.unrecorded.contains(report.holder))
        host.usageRecordedIn = std::max(host.usageRecordedIn, report.sequence);
    grant.usageRecordedIn = host.usageRecordedIn;
    grant.usageFixedUpTo = control.cluster.usage.fixedUpTo;
}

void runUsage(Control &control, ControlEffects &effects, TimePoint now)
{
    if (!countsUsage(control))
        return;
    const std::optional<FencingToken> fencing = holdDuty(control, USAGE_DUTY, effects, now);
    if (!control.leadership)
        return;
    estimateTrueTime(*control.leadership, now);
    if (now >= control.leadership->usage.recordDue)
        recordReported(control, effects, now);
    if (control.leadership && now >= control.leadership->usage.fixDue)
        fixEnded(control, effects, now);
    if (control.leadership && fencing)
        sendOldest(control, *fencing, effects, now);
}

void onUsageReply(Control &control, const DutyReplyEvent &reply, ControlEffects &effects,
                  TimePoint now)
{
    UsageDuty &usage = control.leadership->usage;
    if (usage.call != reply.id)
        return; // The call has timed out, and the window is being sent again.
    usage.call.reset();
    const bool accepted = reply.reply == DutyReply::Accepted;
    const nlohmann::json line{{"window", usage.callWindow}, {"status", reply.status}};
    if (!accepted && reply.reply != DutyReply::Refused) {
        effects.logEvents.push_back({"usageUnanswered", line});
        return;
    }
    if (!accepted)
        effects.logEvents.push_back({"usageRefused", line});
    usage.sentPending = true;
    const UsageSent sent{usage.callWindow, accepted, reply.status};
    if (!proposeUsage(control, sent, effects, now) && control.leadership)
        control.leadership->usage.sentPending = false;
}

void onUsageCommandApplied(Control &control, const CommandBody &body, ControlEffects &effects)
{
    if (const auto *recorded = std::get_if<RecordUsage>(&body))
        onRecorded(*control.leadership, *recorded);
    else if (const auto *fixed = std::get_if<FixUsage>(&body))
        onFixed(control, *fixed, effects);
    else if (const auto *sent = std::get_if<UsageSent>(&body))
        onSent(control, *sent, effects);
}

nlohmann::json describeUsage(const Control &control, TimePoint now)
{
    const UsageWindows &windows = control.cluster.usage;
    nlohmann::json out{{"fixedUpTo", windows.fixedUpTo}, {"unsent", windows.fixed.size()},
                       {"lastSent", windows.lastSent},   {"sent", windows.sent},
                       {"refused", windows.refused},     {"lateRequests", windows.late}};
    if (!control.leadership || !control.leadership->usage.clockOffset)
        return out;
    const UsageDuty &usage = control.leadership->usage;
    out["unixMs"] = toMilliseconds(trueTime(usage, now));
    if (windows.fixedUpTo != 0)
        out["unfixed"]
            = std::max<WindowId>(lastEnded(control, Duration::zero(), now) - windows.fixedUpTo, 0);
    out["overdue"]
        = std::count_if(windows.fixed.begin(), windows.fixed.end(), [&](const auto &item) {
              return item.first <= lastEnded(control, control.duties.usageDue, now);
          });
    return out;
}

} // namespace bilberry
