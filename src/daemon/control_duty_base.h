/** @file control_duty_base.h Threads of the control role: decisions and journal. */
#pragma once

#include "config/settings_type.h"
#include "control/control_inbox_base.h"
#include "core/bounded_ring.h"
#include "journal/journal_base.h"
#include "net/peer_client_base.h"
#include "net/peer_server_base.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>

namespace bilberry {

/** Runs one control member. */
class ControlDuty
{
public:
    /** How targets are reached; each returns false if there is no room. */
    struct OrderChannel
    {
        std::function<bool(SendOrder)> send;
        std::function<bool(InspectTarget)> inspect;
    };

    /**
     * Opens the data folder and starts the threads.
     * @return Failures of Journal::open() and PeerServer::start().
     */
    static Result<std::unique_ptr<ControlDuty>> start(const Settings &settings,
                                                      OrderChannel orders);
    ~ControlDuty();

    /** @return False if the ring is full. */
    bool post(ControlEvent event);

    /** @return A dump of the member's state. */
    nlohmann::json dumpState();

    /** @return Whether the member leads now. */
    bool leads() const { return this->leading.load(); }

    /** @return Whether the journal can be written. */
    bool journalWorks() const { return this->journalOk.load(); }

    const MemberId &member() const { return this->memberId; }
    int peersPort() const { return this->server->port(); }

    void stop();

private:
    /** Reads the state on the decision thread. */
    using Inspection = std::function<void(const Control &)>;
    using Task = std::variant<ControlEvent, Inspection>;

    ControlDuty(const Settings &settings, OrderChannel orders);

    bool takeFrame(PeerFrame &&frame);
    void runDecisions();
    void runJournal();
    void receiveTasks(Duration timeout);
    void handle(const ControlEvent &event);
    void execute(ControlEffects effects);
    void sendToMember(const OutgoingMessage &message);
    std::string addressOf(const MemberId &member) ABSL_EXCLUSIVE_LOCKS_REQUIRED(linksMutex);
    void noteRole();

    Settings settings;
    OrderChannel orders;
    MemberId memberId;
    std::unique_ptr<Journal> journal;
    std::unique_ptr<PeerServer> server;
    BoundedRing<Task> tasks;
    BoundedRing<JournalWrite> writes;
    Control control; ///< Of the decision thread.
    ControlInbox inbox; ///< Of the decision thread.
    std::uint64_t droppedLogged = 0; ///< Dropped messages of which the log already tells.
    absl::Mutex linksMutex; ///< The journal thread sends as well.
    std::map<std::string, std::unique_ptr<PeerClient>> links; ///< To members, by address.
    std::map<MemberId, std::string> addresses; ///< Of the present membership.
    std::map<MemberId, std::string> heardFrom; ///< Addresses that members named themselves.
    std::atomic<bool> leading{false};
    std::atomic<bool> journalOk{true};
    std::thread decisionThread;
    std::thread journalThread;
};

} // namespace bilberry
