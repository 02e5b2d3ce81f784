/** @file answer_delivery.cpp Answers that are written to a caller's socket without the HTTP
 * library. */
#include "net/answer_delivery_base.h"

#include "core/log_func.h"
#include "core/time_type.h"
#include "net/answer_counts_base.h"
#include "net/connection_state_func.h"

#include <absl/strings/str_cat.h>
#include <cerrno>
#include <optional>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace bilberry {

namespace {

/** Bytes that are taken from a stream at once. */
constexpr std::size_t PIECE_BYTES = 16 << 10;
constexpr Duration PROGRESS_TIMEOUT = 20s; ///< For a caller that reads nothing.
/** Time for the caller to close its side: a connection that is closed with unread bytes is reset,
 * and the caller loses the end of the answer. */
constexpr Duration LINGER_TIMEOUT = 1s;
constexpr int POLL_INTERVAL_MS = 200; ///< For the timeouts.
constexpr int STATUS_NO_CONTENT = 204;
constexpr int STATUS_NOT_MODIFIED = 304;
constexpr std::string_view LAST_CHUNK = "0\r\n\r\n";

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

BodyFraming framingOf(std::string_view method, std::string_view version, int status, bool streamed)
{
    if (method == "HEAD" || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
        return BodyFraming::None;
    if (!streamed)
        return BodyFraming::Length;
    return version == "HTTP/1.1" ? BodyFraming::Chunks : BodyFraming::Close;
}

std::string encodeClosingHead(int status, std::string_view contentType, const HeaderList &headers,
                              BodyFraming framing, std::size_t bodyBytes)
{
    std::string head = absl::StrCat("HTTP/1.1 ", status, " \r\n");
    appendField(head, "Connection", "close");
    if (framing == BodyFraming::Length)
        appendField(head, "Content-Length", absl::StrCat(bodyBytes));
    if (framing == BodyFraming::Chunks)
        appendField(head, "Transfer-Encoding", "chunked");
    if (!contentType.empty())
        appendField(head, "Content-Type", contentType);
    for (const auto &[name, value] : headers)
        appendField(head, name, value);
    return head.append("\r\n");
}

/** Interrupts the wait of the thread; outlives it, as exchanges may still hold it. */
struct AnswerDelivery::Wakeup
{
    Wakeup()
        : descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }
    ~Wakeup() { ::close(this->descriptor); }
    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    void signal() const { (void)!::eventfd_write(this->descriptor, 1); }
    void clear() const
    {
        eventfd_t count = 0;
        (void)!::eventfd_read(this->descriptor, &count);
    }

    const int descriptor;
};

/** One answer that is being written. */
struct AnswerDelivery::Delivery
{
    Delivery(DirectAnswer answer, const AnswerDelivery &owner, TimePoint now)
        : answer(std::move(answer))
        , counts(owner.counts)
        , wakeup(owner.wakeup)
        , lastProgress(now)
    {
        Exchange &exchange = *this->answer.exchange;
        absl::MutexLock lock(&exchange.mutex);
        this->pending = encodeClosingHead(exchange.status, exchange.contentType, exchange.headers,
                                          this->answer.framing, exchange.buffer.size());
    }

    ~Delivery()
    {
        {
            absl::MutexLock lock(&this->answer.exchange->mutex);
            this->answer.exchange->resumeCaller = nullptr;
        }
        this->counts->count(this->end.value_or(AnswerEnd::Stopped));
        this->answer.onEnd();
    }
    Delivery(const Delivery &) = delete;
    Delivery &operator=(const Delivery &) = delete;

    /** Writes what can be written without blocking. @return False if the delivery is over. */
    bool step(TimePoint now)
    {
        while (!this->end && (this->hasPending() || this->takePiece())) {
            if (!this->send(now) || this->hasPending())
                break;
        }
        if (!this->end)
            this->checkCaller(now);
        const bool written
            = this->end == AnswerEnd::DeliveredDirectly || this->end == AnswerEnd::BrokenOff;
        if (written)
            return this->drain() && now - this->lastProgress < LINGER_TIMEOUT;
        return !this->end;
    }

    /** @return What to wait for before the next step, besides the answer. */
    pollfd waitsFor() const
    {
        short events = POLLRDHUP;
        if (this->end)
            events = POLLIN;
        else if (this->hasPending())
            events = POLLOUT; // The caller may have closed its sending side, and still reads.
        return {this->answer.socket, events, 0};
    }

private:
    bool hasPending() const { return this->sent < this->pending.size(); }

    /** Takes the next bytes of the answer. @return False if there are none, now or at all. */
    bool takePiece()
    {
        Exchange &exchange = *this->answer.exchange;
        std::function<void()> onBufferSpace;
        std::string piece;
        bool ended = false;
        bool broken = false;
        {
            absl::MutexLock lock(&exchange.mutex);
            // A whole answer counts as held until its exchange closes.
            const std::size_t most = exchange.streamed ? PIECE_BYTES : exchange.buffer.size();
            piece = exchange.buffer.substr(0, most);
            exchange.buffer.erase(0, most);
            if (exchange.streamed)
                exchange.countHeld();
            ended = piece.empty() && exchange.ended;
            broken = exchange.broken;
            onBufferSpace = std::exchange(exchange.onBufferSpace, nullptr);
            if (piece.empty() && !ended)
                exchange.resumeCaller = [wakeup = this->wakeup]() { wakeup->signal(); };
        }
        if (onBufferSpace)
            onBufferSpace();
        if (ended)
            return this->endBody(broken);
        if (!piece.empty())
            this->setPending(std::move(piece));
        return this->hasPending();
    }

    void setPending(std::string piece)
    {
        this->sent = 0;
        const bool chunk = this->answer.framing == BodyFraming::Chunks;
        if (this->answer.framing == BodyFraming::None)
            piece.clear();
        this->pending = chunk ? absl::StrCat(absl::Hex(piece.size()), "\r\n", piece, "\r\n")
                              : std::move(piece);
    }

    /** @return Whether the last chunk is to be written. */
    bool endBody(bool broken)
    {
        const bool chunks = this->answer.framing == BodyFraming::Chunks;
        if (chunks && !broken && !std::exchange(this->lastChunkTaken, true)) {
            this->pending = LAST_CHUNK;
            this->sent = 0;
            return true;
        }
        this->end = broken ? AnswerEnd::BrokenOff : AnswerEnd::DeliveredDirectly;
        if (broken && !chunks) {
            // Only a reset tells the caller that the answer is not complete.
            const linger reset{1, 0};
            ::setsockopt(this->answer.socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            this->callerClosed = true;
        } else {
            ::shutdown(this->answer.socket, SHUT_WR);
        }
        return false;
    }

    /** @return Whether the connection still stands. */
    bool send(TimePoint now)
    {
        while (this->hasPending()) {
            const ssize_t size
                = ::send(this->answer.socket, this->pending.data() + this->sent,
                         this->pending.size() - this->sent, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
                return true;
            if (size < 0) {
                this->fail(AnswerEnd::CallerLeft);
                return false;
            }
            this->sent += static_cast<std::size_t>(size);
            this->lastProgress = now;
        }
        return true;
    }

    /** Ends the delivery if the caller has left, or has read nothing for too long. */
    void checkCaller(TimePoint now)
    {
        // A caller may close its sending side and still read what is ready.
        if (!this->hasPending() && !isPeerConnected(this->answer.socket))
            this->fail(AnswerEnd::CallerLeft);
        else if (this->hasPending() && now - this->lastProgress >= PROGRESS_TIMEOUT)
            this->fail(AnswerEnd::CallerStalled);
    }

    void fail(AnswerEnd why)
    {
        this->end = why;
        logEventRateLimited("answerNotDelivered",
                            {{"request", this->answer.exchange->id},
                             {"tag", this->answer.exchange->forwarded.correlation},
                             {"why", nameOf(why)},
                             {"direct", true}});
    }

    /** Discards what the caller still sends. @return False if it has closed its side. */
    bool drain()
    {
        char discarded[4096];
        while (!this->callerClosed) {
            const ssize_t size = ::recvfrom(this->answer.socket, discarded, sizeof(discarded),
                                            MSG_DONTWAIT, nullptr, nullptr);
            if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
                return true;
            this->callerClosed = size <= 0;
        }
        return false;
    }

    const DirectAnswer answer;
    const std::shared_ptr<AnswerCounts> counts;
    const std::shared_ptr<Wakeup> wakeup;
    TimePoint lastProgress;
    std::string pending; ///< Bytes that are being written.
    std::size_t sent = 0; ///< Of @c pending.
    bool lastChunkTaken = false;
    std::optional<AnswerEnd> end; ///< Nothing more is written.
    bool callerClosed = false;
};

AnswerDelivery::AnswerDelivery(std::shared_ptr<AnswerCounts> counts)
    : counts(std::move(counts))
    , wakeup(std::make_shared<Wakeup>())
{
}

AnswerDelivery::~AnswerDelivery()
{
    this->stop();
}

void AnswerDelivery::add(DirectAnswer answer)
{
    {
        absl::MutexLock lock(&this->mutex);
        if (!this->stopped) {
            this->added.push_back(std::move(answer));
            if (!this->thread.joinable())
                this->thread = std::thread([this]() { this->run(); });
            this->wakeup->signal();
            return;
        }
    }
    answer.onEnd();
}

void AnswerDelivery::stop()
{
    std::thread ending;
    {
        absl::MutexLock lock(&this->mutex);
        this->stopped = true;
        ending = std::exchange(this->thread, {});
    }
    this->wakeup->signal();
    if (ending.joinable())
        ending.join();
}

std::vector<std::unique_ptr<AnswerDelivery::Delivery>> AnswerDelivery::takeAdded()
{
    std::deque<DirectAnswer> answers;
    {
        absl::MutexLock lock(&this->mutex);
        answers.swap(this->added);
    }
    std::vector<std::unique_ptr<Delivery>> taken;
    taken.reserve(answers.size());
    for (DirectAnswer &answer : answers)
        taken.push_back(
            std::make_unique<Delivery>(std::move(answer), *this, MonotonicClock::now()));
    return taken;
}

void AnswerDelivery::wait(const std::vector<std::unique_ptr<Delivery>> &deliveries)
{
    std::vector<pollfd> sockets{{this->wakeup->descriptor, POLLIN, 0}};
    for (const std::unique_ptr<Delivery> &delivery : deliveries)
        sockets.push_back(delivery->waitsFor());
    ::poll(sockets.data(), sockets.size(), deliveries.empty() ? -1 : POLL_INTERVAL_MS);
    this->wakeup->clear();
}

void AnswerDelivery::run()
{
    std::vector<std::unique_ptr<Delivery>> deliveries;
    while (true) {
        for (std::unique_ptr<Delivery> &delivery : this->takeAdded())
            deliveries.push_back(std::move(delivery));
        {
            absl::MutexLock lock(&this->mutex);
            if (this->stopped && this->added.empty())
                return;
        }
        const TimePoint now = MonotonicClock::now();
        std::erase_if(deliveries, [now](const std::unique_ptr<Delivery> &delivery) {
            return !delivery->step(now);
        });
        this->wait(deliveries);
    }
}

} // namespace bilberry
