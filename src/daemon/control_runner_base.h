/** @file control_runner_base.h Control member of a daemon: its decision thread and its journal
 * thread. */
#pragma once

#include "config/settings_type.h"
#include "control/control_inbox_base.h"
#include "core/bounded_queue.h"
#include "daemon/control_memory_base.h"
#include "daemon/decision_load_base.h"
#include "journal/journal_base.h"
#include "net/peer_client_base.h"
#include "net/peer_server_base.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace bilberry {

/**
 * Runs one member of the control group. The decision thread handles events one at a time and owns
 * the state; the journal thread makes its records durable, then acknowledges them.
 */
class ControlRunner
{
public:
    /** Functions that send requests to targets and to the infrastructure; each returns false if a
     * queue is full. */
    struct OrderChannel
    {
        std::function<bool(SendOrder)> send; ///< Sends an order.
        std::function<bool(InspectTarget)> inspect; ///< Queries a target's state.
        std::function<bool(DutyCall)> callInfrastructure; ///< Makes a call of a duty.
    };

    /**
     * Opens the data folder, starts the server for peers and starts the threads.
     * @param settings Settings of the daemon; the control role must be set.
     * @param orders Channel to the targets; called on the decision thread.
     * @return The control member, or an error of Journal::open(), makeControl() or
     * PeerServer::start().
     */
    static Result<std::unique_ptr<ControlRunner>> start(const Settings &settings,
                                                        OrderChannel orders);
    ~ControlRunner();

    /** Queues an event for the decision thread. @return False if the queue is full or closed. */
    bool post(ControlEvent event);

    /**
     * Waits up to 5 s for the decision thread.
     * @return Dump of the member's state as JSON; null if the queue is full or on a timeout.
     */
    nlohmann::json dumpState();

    /** Waits up to 5 s as well. @return Metrics of the duties and of the calls to the
     * infrastructure in the Prometheus text format; empty without duties or on a timeout. */
    std::string metrics();

    /** @return Whether the member is the leader now. */
    bool isLeader() const { return this->leading.load(); }

    /** @return False while writes to the journal fail. */
    bool isJournalWritable() const { return this->journalWritable.load(); }

    /** @return Identity of the member, as read from its data folder. */
    const MemberId &member() const { return this->memberId; }
    /** @return Port on which the server for peers listens. */
    int peersPort() const { return this->server->port(); }

    /** Stops and joins the threads, then shuts the server for peers down. */
    void stop();

private:
    /** Function that reads the state; called on the decision thread. */
    using StateQuery = std::function<void(const Control &)>;
    using Task = std::variant<ControlEvent, StateQuery>;

    ControlRunner(const Settings &settings, OrderChannel orders);

    /** Queues the message in a frame of a peer. @return False if the queue is full or closed. */
    bool handleFrame(PeerFrame &&frame, std::size_t bytes);
    /** Answers a call that finds no room. @return False if the queue is full or closed. */
    bool refuseCall(const OperatorCall &call, std::size_t bytes);
    /** Must be called on the decision thread. */
    ControlMemory readMemory();
    void logMemoryIfDue(TimePoint now);
    /** @return Counters of the calls to the infrastructure, by their replies. */
    std::string formatCallCounters() const;
    void runDecisions();
    void runJournal();
    /** Moves queued events to the inbox and runs queued state queries. */
    void receiveTasks(Duration timeout);
    /** Handles the next event, or one batch of committed entries after all queued events of the
     * control group. @return False if there was nothing to do. */
    bool handleNext();
    void handle(const ControlEvent &event);
    void execute(ControlEffects effects);
    void sendToMember(const OutgoingMessage &message);
    /** @return Peer address of @p member; empty if it is unknown. */
    std::string addressOf(const MemberId &member) ABSL_EXCLUSIVE_LOCKS_REQUIRED(linksMutex);
    /** Publishes whether the member is the leader, and logs that it has become the leader. */
    void updateLeadership();

    Settings settings;
    OrderChannel orders;
    MemberId memberId;
    std::unique_ptr<Journal> journal;
    std::unique_ptr<PeerServer> server;
    BoundedQueue<Task> tasks; ///< For the decision thread.
    ByteBudget callRoom; ///< For calls of operators, from their arrival to their decision.
    BoundedQueue<JournalWrite> writes; ///< For the journal thread.
    Control control; ///< Accessed only by the decision thread.
    ControlInbox inbox; ///< Accessed only by the decision thread.
    TimePoint memoryLoggedAt; ///< Accessed only by the decision thread.
    DecisionLoad load; ///< Accessed only by the decision thread.
    std::uint64_t lastLoggedDrops = 0; ///< Value of inbox.dropped that was logged last.
    absl::Mutex linksMutex; ///< Guards the links and addresses, as both threads send.
    std::map<std::string, std::unique_ptr<PeerClient>>
        links; ///< Connections to other members, by address.
    std::map<MemberId, std::string> addresses; ///< Peer addresses in the current membership.
    std::map<MemberId, std::string>
        selfReportedAddresses; ///< Peer addresses from the members' own messages.
    /** Replies to calls to the infrastructure, indexed by DutyReply. */
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(DutyReply::Unsent) + 1>
        dutyReplies{};
    std::atomic<bool> leading{false}; ///< Whether the member is the leader.
    std::atomic<bool> journalWritable{true}; ///< False while writes to the journal fail.
    std::thread decisionThread;
    std::thread journalThread;
};

} // namespace bilberry
