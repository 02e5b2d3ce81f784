/** @file target_client.cpp HTTP client towards targets on one libcurl multi loop. */
#include "net/target_client_base.h"

#include "net/control_transfer_base.h"
#include "net/transfer_base.h"

#include <map>
#include <thread>

namespace bilberry {

namespace {

constexpr std::size_t TASK_QUEUE_CAPACITY = 65'536;
constexpr int POLL_TIMEOUT_MS = 20;
constexpr Duration STALL_CHECK_INTERVAL = 20ms;

/** Task: cancels an attempt. */
struct Cancel
{
    AttemptId attempt;
};

/** Task: ends the attempts at a target that are not sent yet. */
struct CallBack
{
    TargetId target;
};

/** Task: stops the reuse of the pooled connections to an address that are idle now. */
struct RetireIdleConnections
{
    std::string address;
};

/** Task: resumes an attempt that was paused because the caller's buffer was full. */
struct Unpause
{
    AttemptId attempt;
};

/** Task: makes a call to the infrastructure. */
struct CallInfrastructure
{
    std::string address; ///< "ip:port" of the infrastructure's interface.
    DutyCall call;
};

using Task = std::variant<StartAttempt, Cancel, RetireIdleConnections, Unpause, SendOrder,
                          InspectTarget, CallBack, CallInfrastructure>;

} // namespace

class TargetClient::Impl
{
public:
    Impl(std::shared_ptr<ExchangeTable> exchanges, const Edge &edge, std::string holder,
         OnAttemptEvent onAttemptEvent, OnControlEvent onControlEvent, std::size_t maxAnswerBytes,
         std::size_t pooledConnections)
        : exchanges(std::move(exchanges))
        , memory(std::make_shared<AnswerMemory>(maxAnswerBytes))
        , edge(edge)
        , holder(std::move(holder))
        , onAttemptEvent(std::move(onAttemptEvent))
        , onControlEvent(std::move(onControlEvent))
        , taskQueue(TASK_QUEUE_CAPACITY)
        , multi(curl_multi_init())
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(pooledConnections));
        this->taskQueue.setWakeup([this]() { curl_multi_wakeup(this->multi); });
        this->thread = std::thread([this]() { this->run(); });
    }

    ~Impl()
    {
        this->stop();
        this->transfers.clear();
        this->controlTransfers.clear();
        curl_multi_cleanup(this->multi);
    }

    void stop()
    {
        this->taskQueue.close();
        curl_multi_wakeup(this->multi);
        if (this->thread.joinable())
            this->thread.join();
    }

    void run()
    {
        TimePoint stallCheckDue = MonotonicClock::now();
        while (!this->taskQueue.isClosed()) {
            for (Task &task : this->taskQueue.popAll(Duration::zero()))
                std::visit([this](auto &item) { this->handle(item); }, task);
            int running = 0;
            curl_multi_perform(this->multi, &running);
            this->collectFinished();
            this->endWithoutMemory();
            const TimePoint now = MonotonicClock::now();
            if (now >= stallCheckDue) {
                stallCheckDue = now + STALL_CHECK_INTERVAL;
                this->endStalled(now);
                this->endPastDeadline(now);
            }
            curl_multi_poll(this->multi, nullptr, 0, POLL_TIMEOUT_MS, nullptr);
        }
    }

    void handle(const StartAttempt &attempt)
    {
        std::shared_ptr<Exchange> exchange = this->exchanges->find(attempt.request);
        const TimePoint now = MonotonicClock::now();
        const bool late = now >= attempt.sendBy;
        if (late)
            logAttemptNotSent(attempt, now);
        if (!exchange || late) {
            AttemptEnded ended;
            ended.attempt = attempt.attempt;
            ended.result = AttemptResult::NotSent;
            this->onAttemptEvent(std::move(ended));
            return;
        }
        auto transfer = std::make_unique<Transfer>(attempt, std::move(exchange), this->edge,
                                                   this->memory, now);
        const AttemptId id = attempt.attempt;
        transfer->onBufferSpace = [this, id]() { this->taskQueue.push(Unpause{id}); };
        transfer->makeRoom = [this, asking = transfer.get()](std::size_t bytes) {
            return this->makeRoom(*asking, bytes);
        };
        if (attempt.reportBegin)
            transfer->onBegan = [this, id]() { this->onAttemptEvent(ResponseBegan{id}); };
        transfer->onStated
            = [this](TargetStated stated) { this->onAttemptEvent(std::move(stated)); };
        const auto retired = this->retiredAt.find(attempt.address);
        if (retired != this->retiredAt.end())
            transfer->limitConnectionIdleTime(
                std::chrono::duration_cast<std::chrono::seconds>(now - retired->second).count());
        curl_multi_add_handle(this->multi, transfer->handle());
        this->transfers[id] = std::move(transfer);
    }

    void handle(const Cancel &cancel)
    {
        const auto it = this->transfers.find(cancel.attempt);
        if (it != this->transfers.end())
            this->conclude(it, CURLE_ABORTED_BY_CALLBACK, false, true);
    }

    void handle(const CallBack &callBack)
    {
        for (auto it = this->transfers.begin(); it != this->transfers.end();) {
            const auto transfer = it++;
            if (transfer->second->attempt.target == callBack.target && !transfer->second->isSent())
                this->conclude(transfer, CURLE_ABORTED_BY_CALLBACK, false, false, true);
        }
    }

    void handle(const RetireIdleConnections &task)
    {
        this->retiredAt[task.address] = MonotonicClock::now();
    }

    void handle(const Unpause &unpause)
    {
        const auto it = this->transfers.find(unpause.attempt);
        if (it == this->transfers.end() || !it->second->paused.exchange(false))
            return;
        curl_easy_pause(it->second->handle(), CURLPAUSE_CONT);
    }

    void handle(const SendOrder &order)
    {
        const TimePoint now = MonotonicClock::now();
        if (now >= order.sendBy) {
            logOrder("orderHeldBack", order, now);
            this->onControlEvent(
                OrderReplyEvent{order.replica, order.order.fencing, OrderReply::Unsent});
            return;
        }
        this->begin(ControlTransfer::makeOrder(order, this->edge, this->holder, now));
    }

    void handle(const InspectTarget &item)
    {
        const std::string path = this->edge.inspectionPath();
        if (path.empty()) {
            this->onControlEvent(InspectionEvent{item.target, item.start, {}});
            return;
        }
        this->begin(ControlTransfer::makeInspection(item, path));
    }

    void handle(const CallInfrastructure &task)
    {
        const TimePoint now = MonotonicClock::now();
        if (this->edge.encodeDutyCall == nullptr || now >= task.call.sendBy) {
            logDutyCall("dutyCallHeldBack", task.call,
                        {{"leaseMs", toMilliseconds(task.call.sendBy - now)}});
            this->onControlEvent(DutyReplyEvent{task.call.id, DutyReply::Unsent, 0});
            return;
        }
        this->begin(
            ControlTransfer::makeDutyCall(task.call, task.address, this->edge, this->holder, now));
    }

    void begin(std::unique_ptr<ControlTransfer> transfer)
    {
        CURL *easy = transfer->handle();
        curl_multi_add_handle(this->multi, easy);
        this->controlTransfers[easy] = std::move(transfer);
    }

    void collectFinished()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL *easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto order = this->controlTransfers.find(easy);
            if (order != this->controlTransfers.end()) {
                this->concludeControl(order, code);
                continue;
            }
            Transfer *transfer = nullptr;
            curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
            this->conclude(this->transfers.find(transfer->attempt.attempt), code, false, false);
        }
    }

    using Transfers = std::map<AttemptId, std::unique_ptr<Transfer>>;

    void conclude(Transfers::iterator it, CURLcode code, bool stalled, bool cancelled,
                  bool calledBack = false)
    {
        curl_multi_remove_handle(this->multi, it->second->handle());
        AttemptEnded ended = it->second->conclude(code, stalled, cancelled);
        ended.calledBack = calledBack;
        this->transfers.erase(it);
        this->onAttemptEvent(std::move(ended));
    }

    using ControlTransfers = std::map<CURL *, std::unique_ptr<ControlTransfer>>;

    void concludeControl(ControlTransfers::iterator it, CURLcode code)
    {
        curl_multi_remove_handle(this->multi, it->first);
        ControlEvent event = it->second->conclude(code, this->edge, MonotonicClock::now());
        this->controlTransfers.erase(it);
        this->onControlEvent(std::move(event));
    }

    /**
     * Lets transfers give up their memory, the one with most first, until @p bytes more fit.
     * @return False if @p asking itself would then hold most. Others are not concluded here, as
     *         libcurl allows no removal of a handle during its callbacks.
     */
    bool makeRoom(const Transfer &asking, std::size_t bytes)
    {
        while (!this->memory->fits(bytes)) {
            Transfer *largest = nullptr;
            for (const auto &[id, transfer] : this->transfers) {
                if (largest == nullptr || transfer->heldBytes() > largest->heldBytes())
                    largest = transfer.get();
            }
            if (largest == nullptr || largest->heldBytes() <= asking.heldBytes() + bytes)
                return false;
            largest->giveUpMemory();
        }
        return true;
    }

    void endWithoutMemory()
    {
        for (auto it = this->transfers.begin(); it != this->transfers.end();) {
            const auto transfer = it++;
            if (transfer->second->hasGivenUpMemory())
                this->conclude(transfer, CURLE_WRITE_ERROR, false, false);
        }
    }

    void endStalled(TimePoint now)
    {
        std::vector<AttemptId> stalledAttempts;
        for (const auto &[id, transfer] : this->transfers) {
            if (transfer->isStalled(now))
                stalledAttempts.push_back(id);
        }
        for (const AttemptId id : stalledAttempts)
            this->conclude(this->transfers.find(id), CURLE_OPERATION_TIMEDOUT, true, false);
    }

    void endPastDeadline(TimePoint now)
    {
        for (auto it = this->transfers.begin(); it != this->transfers.end();) {
            const auto transfer = it++;
            if (transfer->second->isPastDeadline(now))
                this->conclude(transfer, CURLE_ABORTED_BY_CALLBACK, false, false);
        }
    }

    std::shared_ptr<ExchangeTable> exchanges;
    const std::shared_ptr<AnswerMemory> memory;
    const Edge &edge;
    const std::string holder;
    OnAttemptEvent onAttemptEvent;
    OnControlEvent onControlEvent;
    BoundedQueue<Task> taskQueue;
    CURLM *multi;
    Transfers transfers;
    ControlTransfers controlTransfers;
    /** For each address, the time of the last RetireIdleConnections. */
    std::map<std::string, TimePoint> retiredAt;
    std::thread thread;
};

TargetClient::TargetClient(std::shared_ptr<ExchangeTable> exchanges, const Edge &edge,
                           std::string holder, OnAttemptEvent onAttemptEvent,
                           OnControlEvent onControlEvent, std::size_t maxAnswerBytes,
                           std::size_t pooledConnections)
    : impl(std::make_unique<Impl>(std::move(exchanges), edge, std::move(holder),
                                  std::move(onAttemptEvent), std::move(onControlEvent),
                                  maxAnswerBytes, pooledConnections))
{
}

TargetClient::~TargetClient() = default;

bool TargetClient::start(StartAttempt attempt)
{
    return this->impl->taskQueue.tryPush(std::move(attempt));
}

void TargetClient::cancel(AttemptId attempt)
{
    this->impl->taskQueue.push(Cancel{attempt});
}

void TargetClient::callBack(TargetId target)
{
    this->impl->taskQueue.push(CallBack{std::move(target)});
}

void TargetClient::retireConnections(std::string address)
{
    this->impl->taskQueue.push(RetireIdleConnections{std::move(address)});
}

bool TargetClient::sendOrder(SendOrder order)
{
    return this->impl->taskQueue.tryPush(std::move(order));
}

bool TargetClient::inspect(InspectTarget item)
{
    return this->impl->taskQueue.tryPush(std::move(item));
}

bool TargetClient::callInfrastructure(std::string address, DutyCall call)
{
    return this->impl->taskQueue.tryPush(CallInfrastructure{std::move(address), std::move(call)});
}

const AnswerMemory &TargetClient::answerMemory() const
{
    return *this->impl->memory;
}

void TargetClient::stop()
{
    this->impl->stop();
}

} // namespace bilberry
