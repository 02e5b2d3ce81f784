/** @file decision_loop_base.h Drives the decision code of hosts and a control member with a made-up
 * clock. */
#pragma once

#include "control/control_func.h"
#include "host/host_func.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace bilberry {

/** How a made-up target serves. */
struct LoopTarget
{
    TargetAnnouncement announcement;
    Duration serviceTime = 10ms;
    std::function<AttemptEnded(const StartAttempt &)> answer; ///< Null: answered at once by 200.
    int running = 0;
    int mostRunning = 0;
    bool down = false;
};

/** End of one request, as its caller sees it. */
struct LoopAnswer
{
    RequestId request;
    TimePoint at;
    bool answered = false;
    bool replayed = false;
    RefuseCaller refusal; ///< If not answered.
};

/** One host with its own link to the leader. */
struct LoopHost
{
    Host host;
    bool cut = false; ///< No message passes between it and the leader.
    bool down = false;
};

/**
 * Hosts, one control member and targets, joined by delays instead of threads and networks. Each
 * event is one call of step(); the order is fixed by the times and the seed.
 */
class DecisionLoop
{
public:
    /** @param hosts Number of hosts. @param folder Configuration that is in force from the start.
     */
    DecisionLoop(int hosts, const FolderConfig &folder, unsigned seed);

    void addTarget(LoopTarget target);

    /** Makes a key of the account that every test may present. */
    static PresentedKey keyOf(const AccountId &account);

    /** Sends a request to a host at @p at. @return Its id at that host. */
    RequestId send(int host, CallerRequest request, TimePoint at);

    /** Commits an operator's command through a host. */
    void command(int host, OperatorBody body);

    /** Runs until @p end. */
    void runUntil(TimePoint end);

    /** Ends the host's run and begins a new one; open requests of the old run get no answer. */
    void restartHost(int host);

    /** Ends the control member; a new one starts from what was synced, @p downFor later. */
    void restartControl(Duration downFor);

    TimePoint now() const { return this->time; }

    Duration linkDelay = 1ms; ///< One way between hosts and the leader.
    Duration syncDelay = 1ms;
    std::function<bool(const HostEffect &)> dropEffect; ///< For tests: true loses the effect.
    std::function<void(bool begins)> aroundControl; ///< For measurements: about each control step.
    std::function<void(const HostGrant &)> onGrant; ///< For tests: sees each grant.
    std::function<void()> afterEvent; ///< For tests: called between any two events.
    std::vector<LoopHost> hosts;
    std::map<TargetId, LoopTarget> targets;
    Control control;
    bool controlDown = false;
    std::map<std::pair<int, RequestId>, LoopAnswer> answers;
    std::uint64_t events = 0;
    std::uint64_t messages = 0; ///< Between hosts and the leader.

private:
    struct Item
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> action;
        friend bool operator>(const Item &a, const Item &b)
        {
            return std::tie(a.at, a.order) > std::tie(b.at, b.order);
        }
    };

    void schedule(TimePoint at, std::function<void()> action);
    void stepHost(int host, const HostEvent &event);
    void execute(int host, const HostEffect &effect);
    void stepControl(const ControlEvent &event);
    void take(const ControlEffects &effects);
    void startAttempt(int host, const StartAttempt &attempt);
    void announceAll();
    void tickAll();
    void startControl();

    TimePoint time{1s};
    std::uint64_t order = 0;
    std::priority_queue<Item, std::vector<Item>, std::greater<>> items;
    DurableState disk;
    std::uint64_t controlLife = 0; ///< Work of an ended control member is dropped.
    std::vector<std::uint64_t> hostLife;
    std::map<std::pair<int, AttemptId>, TargetId> attempts; ///< Running at a target.
    std::uint64_t lastRequest = 0;
    std::uint64_t lastOperator = 0;
    std::uint64_t lastRun = 0;
    unsigned seed;
};

} // namespace bilberry
