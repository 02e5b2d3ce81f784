/** @file decision_simulation_base.h Discrete-event simulation of the decision code of hosts and of
 * one control group member. */
#pragma once

#include "control/control_func.h"
#include "host/host_func.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace bilberry {

/** Arrival of an attempt or an order at a simulated target. */
struct SimulatedArrival
{
    TimePoint at;
    int host = 0; ///< Number of the host; -1: an order of the leader.
};

/** Simulated target. */
struct SimulatedTarget
{
    TargetAnnouncement announcement;
    Duration serviceTime = 10ms; ///< Time from the start to the end of an attempt.
    std::function<AttemptEnded(const StartAttempt &)>
        answer; ///< Returns the result of an attempt; null: each attempt gets status 200.
    int running = 0; ///< Number of attempts in progress, of all hosts.
    int maxRunning = 0; ///< Highest value of running so far.
    bool down = false; ///< Neither announces itself nor accepts attempts.
    /** Time from the start of an attempt to the first event of its response; zero: no event. */
    Duration timeToFirstEvent{};
    /** Whether the target crashes instead of sending the first event; null: never. */
    std::function<bool(const StartAttempt &)> crashes;
    /** Statement in the head of the answer to an attempt, which arrives after headDelay; null: the
     * target states nothing. */
    std::function<TargetStatement(const StartAttempt &)> statement;
    Duration headDelay = 1ms;
    std::vector<SimulatedArrival> arrivals; ///< All attempts and orders that arrived, in order.
    Duration restartTime = 5s; ///< Time from a crash to the next incarnation.
};

/** Outcome of one request, as its caller sees it. */
struct SimulatedOutcome
{
    RequestId request;
    TimePoint at; ///< Time of the outcome.
    bool answered = false; ///< False: the request was refused.
    bool replayed = false; ///< The answer was stored earlier under the request's idempotency key.
    RefuseCaller refusal; ///< Set if not answered.
};

/** Simulated host with its own link to the leader. */
struct SimulatedHost
{
    Host host;
    bool partitioned = false; ///< Messages between the host and the leader are lost.
    bool stalled = false; ///< Messages from the host wait in a buffer on the way to the leader.
    bool frozen = false; ///< The process stands still; events wait until it goes on.
    bool down = false; ///< The host is not running; events to it are dropped.
};

/**
 * Discrete-event simulation of hosts, one control group member and targets on a simulated clock.
 * Messages and disk writes take fixed delays. A run is deterministic: events run in order of time,
 * and those of the same time in the order in which they were scheduled.
 */
class DecisionSimulation
{
public:
    /**
     * @param hosts Number of hosts. @param folder Configuration that is in force from the start.
     * @param seed Random seed of the control group member.
     */
    DecisionSimulation(int hosts, const FolderConfig &folder, unsigned seed);

    /** Adds or replaces a target; a host receives its announcement within a second. */
    void addTarget(SimulatedTarget target);

    /** @return Key that the configuration of every simulation grants to the account. */
    static PresentedKey keyOf(const AccountId &account);

    /** Schedules a request to a host at time @p at. @return Id of the request. */
    RequestId send(int host, CallerRequest request, TimePoint at);

    /** The caller of a request closes its connection now. */
    void disconnect(int host, RequestId request);

    /**
     * Sends an operator request to the leader through a host.
     * @param timeLimit Time that the operator waits for the answer.
     * @return Id of the request.
     */
    std::uint64_t sendOperatorRequest(int host, OperatorBody body,
                                      Duration timeLimit = TimePoint::max() - TimePoint());

    /** Delivers what waits behind SimulatedHost::stalled and SimulatedHost::frozen, and ends both.
     */
    void resume(int host);

    /** Runs all events up to @p end and sets the clock to @p end. */
    void runUntil(TimePoint end);

    /** Stops a target: its attempts are lost. It is back after its restart time. */
    void crashTarget(const TargetId &id);

    /** Restarts the host's process; requests in progress get no answer. */
    void restartHost(int host);

    /**
     * Stops the control group member. It restarts after @p downFor from the state that was synced
     * to disk.
     */
    void restartControl(Duration downFor);

    TimePoint now() const { return this->time; }

    Duration linkDelay = 1ms; ///< One-way delay between hosts and the leader.
    /** Time that the leader spends on one message of a host; further messages wait meanwhile. */
    Duration controlServiceTime{};
    Duration syncDelay = 1ms; ///< Time to sync a write of the control group member to disk.
    std::function<bool(const HostEffect &)>
        dropEffect; ///< Called for each effect of a host; true drops the effect.
    std::function<void(bool begins)>
        onControlStep; ///< Called before (true) and after (false) each control step.
    std::function<void(const HostGrant &)>
        onGrant; ///< Called for each grant that the leader sends.
    std::function<void(int host, const OperatorAnswer &)>
        onOperatorAnswer; ///< Called for each answer to an operator request.
    std::function<bool(int host, std::uint64_t request)>
        operatorWaits; ///< Whether the operator still waits for the answer; null: always.
    std::function<std::int64_t(int host)>
        timeOfDay; ///< Time of day of a host, Unix ms; null: hosts do not know it.
    std::function<void(const DutyCall &)>
        onDutyCall; ///< Called for each call of a duty; null: they are never answered.
    std::function<void()> afterEvent; ///< Called after each event.
    std::vector<SimulatedHost> hosts;
    std::map<TargetId, SimulatedTarget> targets;
    Control control;
    bool controlDown = false;
    std::map<std::pair<int, RequestId>, SimulatedOutcome>
        outcomes; ///< Outcomes by host number and request.
    std::uint64_t events = 0; ///< Events run so far.
    std::uint64_t messages = 0; ///< Messages sent between hosts and the leader.

private:
    struct ScheduledEvent
    {
        TimePoint at;
        std::uint64_t sequence; ///< Breaks ties between events of the same time.
        std::function<void()> action;
        friend bool operator>(const ScheduledEvent &a, const ScheduledEvent &b)
        {
            return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
        }
    };

    void schedule(TimePoint at, std::function<void()> action);
    void stepHost(int host, const HostEvent &event);
    void sendToControl(int host, const HostMessage &message);
    void execute(int host, const HostEffect &effect);
    void stepControl(const ControlEvent &event);
    void applyEffects(const ControlEffects &effects);
    void startAttempt(int host, const StartAttempt &attempt);
    void scheduleFirstEvent(int host, const StartAttempt &attempt);
    void scheduleStatement(int host, const StartAttempt &attempt);
    void announceAll();
    void tickAll();
    void startControl();

    TimePoint time{1s};
    std::uint64_t sequence = 0; ///< Sequence number of the event that was scheduled last.
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> pending;
    TimePoint controlFreeAt; ///< End of the leader's work on the messages that were sent so far.
    DurableState disk; ///< State of the control group member that is synced to disk.
    std::uint64_t controlIncarnation = 0; ///< Number of restarts; events that were scheduled before
                                          ///< the last restart are dropped.
    std::vector<std::uint64_t>
        hostIncarnations; ///< Number of restarts of each host; drops its events in the same way.
    std::vector<std::pair<int, HostMessage>>
        stalledMessages; ///< Messages of stalled hosts, oldest first.
    std::vector<std::pair<int, HostEvent>> heldEvents; ///< Events of frozen hosts, oldest first.
    std::map<std::pair<int, AttemptId>, TargetId>
        attempts; ///< Attempts in progress and their targets.
    std::uint64_t lastRequest = 0;
    std::uint64_t lastOperator = 0;
    std::uint64_t lastRun = 0;
    unsigned seed;
};

} // namespace bilberry
