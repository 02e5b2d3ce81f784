/** @file host_duty_base.h Threads of every daemon: decisions, control link, callers, targets. */
#pragma once

#include "config/settings_type.h"
#include "core/bounded_ring.h"
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

/** Runs one host's decisions and everything that they need. */
class HostDuty
{
public:
    /**
     * Starts the threads.
     * @param onControlEvent Gets replies to orders and inspections.
     * @return Errc::AddressInUse.
     */
    static Result<std::unique_ptr<HostDuty>> start(const Settings &settings, const Edge &edge,
                                                   TargetClient::OnControlEvent onControlEvent);
    ~HostDuty();

    bool post(HostEvent event);

    /** Sends an order of the control role to a target. */
    bool sendOrder(SendOrder order) { return this->targets->sendOrder(std::move(order)); }

    /** Asks a target for its state. */
    bool inspect(InspectTarget item) { return this->targets->inspect(std::move(item)); }

    /** Passes an operator's request to the leader. @return Errc::Timeout in the answer if none
     * came. */
    OperatorAnswer callLeader(OperatorBody body, bool dryRun, Duration timeout);

    nlohmann::json dumpState();
    std::string metrics();
    bool ready() const { return this->readyNow.load(); }
    bool drained() const { return this->drainedNow.load(); }
    /** @return A name that no other call on any host returns. */
    std::string uniqueName();
    int callersPort() const { return this->callers ? this->callers->port() : 0; }

    /** Addresses of control hosts that the settings name now. */
    void setSeeds(std::vector<std::string> addresses);

    /** Begins a graceful shutdown. */
    void leave();
    void stop();

private:
    using Inspection = std::function<void(const Host &)>;
    using Task = std::variant<HostEvent, Inspection>;

    /** An operator's request that waits for its answer. */
    struct PendingOperator
    {
        absl::Notification done;
        OperatorAnswer answer;
    };

    HostDuty(const Settings &settings, const Edge &edge);

    void runDecisions();
    /** Closes the callers' port step by step during a graceful shutdown. */
    void followShutdown(TimePoint now);
    void handle(const HostEvent &event);
    std::string tagOf(RequestId request) const;
    std::string variantOf(RequestId request) const;
    void logDecisions(const HostEvent &event, const HostEffects &effects, TimePoint now) const;
    void execute(HostEffect &effect);
    void connectTo(std::string address, const std::vector<std::string> &known);
    std::string nextControlAddress();
    void startAttempt(const StartAttempt &attempt);
    template <class T> T inspect(std::function<T(const Host &)> read);

    Settings settings;
    const Edge &edge;
    std::shared_ptr<ExchangeTable> exchanges;
    std::unique_ptr<TargetClient> targets;
    std::unique_ptr<CallerServer> callers;
    BoundedRing<Task> tasks;
    Host host; ///< Of the decision thread.
    std::vector<std::string> controlAddresses; ///< Of the decision thread.
    std::unique_ptr<PeerClient> link; ///< Of the decision thread.
    std::size_t nextAddress = 0;
    absl::Mutex seedsMutex;
    std::vector<std::string> seeds ABSL_GUARDED_BY(seedsMutex);
    std::ofstream trace;
    std::atomic<bool> readyNow{false};
    std::atomic<bool> drainedNow{false};
    absl::Mutex operatorMutex;
    std::uint64_t lastOperator = 0;
    std::atomic<std::uint64_t> lastName{0};
    std::map<std::uint64_t, std::shared_ptr<PendingOperator>> operators;
    std::thread thread;
};

} // namespace bilberry
