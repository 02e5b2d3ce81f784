/** @file host_runner_base.h Host of a daemon: its decision thread, and its connections to callers,
 * targets and the control group. */
#pragma once

#include "config/settings_type.h"
#include "core/bounded_queue.h"
#include "daemon/leader_call_type.h"
#include "host/host_func.h"
#include "net/caller_server_base.h"
#include "net/peer_client_base.h"
#include "net/target_client_base.h"

#include <absl/synchronization/notification.h>
#include <atomic>
#include <fstream>
#include <map>
#include <memory>
#include <thread>

namespace bilberry {

/**
 * Runs one host. The decision thread handles events one at a time, owns the state and executes the
 * effects of each event on the connections.
 */
class HostRunner
{
public:
    /**
     * Starts the client for targets, the server for callers (if settings.entry is set) and the
     * decision thread.
     * @param settings Settings of the daemon.
     * @param edge Interface towards callers and targets; must outlive the host.
     * @param onControlEvent Called with targets' replies to orders and state queries.
     * @return The host, or Errc::AddressInUse.
     */
    static Result<std::unique_ptr<HostRunner>> start(const Settings &settings, const Edge &edge,
                                                     TargetClient::OnControlEvent onControlEvent);
    ~HostRunner();

    /** Queues an event for the decision thread. @return False if the queue is full or closed. */
    bool post(HostEvent event);

    /** Sends an order of the leader to a target. @return False if a queue is full. */
    bool sendOrder(SendOrder order) { return this->targets->sendOrder(std::move(order)); }

    /** Makes a call to the infrastructure. @return False if a queue is full. */
    bool callInfrastructure(DutyCall call)
    {
        return this->targets->callInfrastructure(this->settings.infrastructure.text(),
                                                 std::move(call));
    }

    /** Queries a target for its state. @return False if a queue is full. */
    bool inspect(InspectTarget item) { return this->targets->inspect(std::move(item)); }

    /**
     * Forwards an operator's request to the leader of the control group and waits for the answer.
     * @return The leader's answer; with Errc::Timeout if none arrived, the operator has gone or the
     *         queue is full. A change that got no answer is not made after a newer one.
     */
    OperatorAnswer callLeader(LeaderCall call);

    /**
     * Waits up to 5 s for the decision thread.
     * @return Dump of the host's state as JSON; null if the queue is full or on a timeout.
     */
    nlohmann::json dumpState();
    /**
     * Waits up to 5 s for the decision thread.
     * @return Metrics in the Prometheus text format; empty if the queue is full or on a timeout.
     */
    std::string metrics();
    /** @return Whether the host was ready for requests at the last tick. */
    bool ready() const { return this->readyNow.load(); }
    /** @return Whether, at the last tick, the drain time of a shutdown had passed and no request
     * was open. */
    bool drained() const { return this->drainedNow.load(); }
    /** @return A name that is unique over all calls, hosts and runs of the daemon. */
    std::string uniqueName();
    /** @return Port on which the server for callers listens; 0 without one. */
    int callersPort() const { return this->callers ? this->callers->port() : 0; }

    /**
     * Sets the seed addresses.
     * @param addresses Addresses of control hosts ("ip:port") in the current settings.
     */
    void setSeeds(std::vector<std::string> addresses);

    /** @return The count of the bodies of requests, for all HTTP ports of the process. */
    const std::shared_ptr<RequestMemory> &requestMemory() const { return this->bodies; }

    /** Begins a graceful shutdown; drained() tells when it is complete. */
    void beginShutdown();
    /** Stops and joins the decision thread, then stops the server for callers and the client for
     * targets. */
    void stop();

private:
    /** Function that reads the state; called on the decision thread. */
    using StateQuery = std::function<void(const Host &)>;
    using Task = std::variant<HostEvent, StateQuery>;

    /** An operator's request that waits for the leader's answer. */
    struct PendingOperator
    {
        std::function<bool()> operatorWaits; ///< LeaderCall::operatorWaits.
        absl::Notification done;
        OperatorAnswer answer;
    };

    HostRunner(const Settings &settings, const Edge &edge);

    void runDecisions();
    /**
     * During a graceful shutdown, closes the callers' connections after their answers and, after
     * the drain time, the listening socket.
     */
    void advanceShutdown(TimePoint now);
    /** Applies the largest head of a request that the configuration allows, if it has changed. */
    void limitHeads();
    void handle(const HostEvent &event);
    std::string correlationIdOf(RequestId request) const;
    std::string variantOf(RequestId request) const;
    std::vector<PromptPart> promptPartsOf(RequestId request) const;
    std::string softwareVersionOf(const TargetId &target) const;
    void logDecisions(const HostEvent &event, const HostEffects &effects, TimePoint now) const;
    void execute(HostEffect &effect);
    /**
     * Connects to a control host, unless the current connection is to @p address or, for an empty
     * address, to one of @p known.
     * @param address Address to connect to; empty for any known control host.
     * @param known All current control hosts; empty if unchanged.
     */
    void connectTo(std::string address, const std::vector<std::string> &known);
    std::string nextControlAddress();
    void startAttempt(const StartAttempt &attempt);
    /** @return Whether the operator of a request still waits for the answer. */
    bool operatorWaits(std::uint64_t request);
    void answerOperator(const OperatorAnswer &answer);
    /**
     * Calls @p read on the decision thread and waits up to 5 s for its result.
     * @return The result; T{} if the queue is full or on a timeout.
     */
    template <class T> T queryState(std::function<T(const Host &)> read);

    Settings settings;
    const Edge &edge;
    std::shared_ptr<ExchangeTable> exchanges;
    std::shared_ptr<RequestMemory> bodies;
    std::unique_ptr<TargetClient> targets;
    std::unique_ptr<CallerServer> callers;
    Version headsLimitedAt; ///< Table version of the last limitHeads(); on the decision thread.
    BoundedQueue<Task> tasks; ///< For the decision thread.
    Host host; ///< Accessed only by the decision thread, except for its constant settings.
    std::vector<std::string>
        controlAddresses; ///< Latest known control hosts; accessed only by the decision thread.
    std::unique_ptr<PeerClient>
        link; ///< Connection to a control host; accessed only by the decision thread.
    std::size_t nextAddress = 0; ///< Round-robin position in nextControlAddress().
    absl::Mutex seedsMutex;
    std::vector<std::string> seeds ABSL_GUARDED_BY(seedsMutex);
    std::ofstream trace; ///< Recorded settings and events for replay; closed if not configured.
    std::atomic<bool> readyNow{false}; ///< Set at each tick.
    std::atomic<bool> drainedNow{false}; ///< Set at each tick.
    absl::Mutex operatorMutex;
    std::uint64_t lastOperatorId = 0; ///< Id of the last operator's request.
    std::atomic<std::uint64_t> lastName{0}; ///< Number in the last name that uniqueName() returned.
    std::map<std::uint64_t, std::shared_ptr<PendingOperator>>
        pendingOperators; ///< Operators' requests without an answer, by id; guarded by
                          ///< operatorMutex.
    std::thread thread;
};

} // namespace bilberry
