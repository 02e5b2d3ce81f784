/** @file peer_client.cpp gRPC client side of the system's own streams. */
#include "net/peer_client_base.h"

#include "net/generated/peers.grpc.pb.h"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <deque>
#include <grpcpp/grpcpp.h>

namespace bilberry {

namespace {

constexpr std::size_t MAX_QUEUED_FRAMES = 4'096;
constexpr std::size_t MAX_QUEUED_BYTES = 8
    << 20; ///< To one receiver; a single frame may be larger.
constexpr int MAX_FRAME_BYTES = 64 << 20;
constexpr int KEEPALIVE_MS = 1'000;
constexpr Duration RECONNECT_LEAST = 50ms;
constexpr Duration RECONNECT_MOST = 500ms;

std::shared_ptr<grpc::Channel> makeChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // A shared subchannel could be the very connection that has gone silent.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KEEPALIVE_MS);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KEEPALIVE_MS);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(MAX_FRAME_BYTES);
    auto channel = grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(),
                                             arguments);
    // gRPC ends its callback threads with the last channel, and aborts if a new one comes just
    // then; so the first one stays.
    static const auto *first = new std::shared_ptr<grpc::Channel>(channel);
    (void)first;
    return channel;
}

} // namespace

/** What the client and its present stream both reach. */
struct PeerClient::Shared
{
    OnFrame onFrame;
    OnState onState;
    absl::Mutex mutex;
    Stream *stream = nullptr;
    bool stopped = false;
    TimePoint nextTry;
    Duration backoff = RECONNECT_LEAST;
};

/** One run of the stream; deletes itself when gRPC is done with it. */
class PeerClient::Stream final : public grpc::ClientBidiReactor<rpc::Frame, rpc::Frame>
{
public:
    Stream(std::shared_ptr<Shared> shared, const std::string &address)
        : shared(std::move(shared))
        , channel(makeChannel(address))
        , stub(rpc::Peers::NewStub(this->channel))
    {
        this->stub->async()->Exchange(&this->context, this);
        // Writes start on other threads than gRPC's, so the stream must not end on its own.
        this->AddHold();
        this->StartRead(&this->incoming);
        this->StartCall();
    }

    void OnReadInitialMetadataDone(bool ok) override
    {
        if (ok)
            this->noteConnected();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            this->context.TryCancel();
            {
                absl::MutexLock lock(&this->mutex);
                this->closed = true;
            }
            this->RemoveHold();
            return;
        }
        this->noteConnected();
        Result<PeerFrame> frame = fromWire(this->incoming);
        if (frame)
            this->shared->onFrame(std::move(frame).value());
        this->StartRead(&this->incoming);
    }

    void OnWriteDone(bool ok) override
    {
        absl::MutexLock lock(&this->mutex);
        this->queuedBytes -= this->queue.front().ByteSizeLong();
        this->queue.pop_front();
        this->writing = false;
        if (ok)
            this->writeNext();
    }

    void OnDone(const grpc::Status &) override
    {
        bool report = false;
        {
            absl::MutexLock lock(&this->shared->mutex);
            this->shared->stream = nullptr;
            this->shared->nextTry = MonotonicClock::now() + this->shared->backoff;
            this->shared->backoff = std::min(2 * this->shared->backoff, RECONNECT_MOST);
            report = !this->shared->stopped;
        }
        if (report)
            this->shared->onState(false);
        delete this;
    }

    void send(rpc::Frame frame)
    {
        absl::MutexLock lock(&this->mutex);
        const std::size_t size = frame.ByteSizeLong();
        const bool full = this->queue.size() >= MAX_QUEUED_FRAMES
            || this->queuedBytes + size > MAX_QUEUED_BYTES;
        if (full && !this->queue.empty())
            return;
        this->queuedBytes += size;
        this->queue.push_back(std::move(frame));
        this->writeNext();
    }

    void cancel() { this->context.TryCancel(); }

private:
    void writeNext()
    {
        if (this->writing || this->closed || this->queue.empty())
            return;
        this->writing = true;
        this->StartWrite(&this->queue.front());
    }

    void noteConnected()
    {
        absl::MutexLock lock(&this->shared->mutex);
        this->shared->backoff = RECONNECT_LEAST;
    }

    std::shared_ptr<Shared> shared;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<rpc::Peers::Stub> stub;
    grpc::ClientContext context;
    rpc::Frame incoming;
    absl::Mutex mutex;
    std::deque<rpc::Frame> queue;
    std::size_t queuedBytes = 0;
    bool writing = false;
    bool closed = false; ///< No further write may start.
};

PeerClient::PeerClient(std::string address, OnFrame onFrame, OnState onState)
    : target(std::move(address))
    , shared(std::make_shared<Shared>())
{
    this->shared->onFrame = std::move(onFrame);
    this->shared->onState = std::move(onState);
}

PeerClient::~PeerClient()
{
    absl::MutexLock lock(&this->shared->mutex);
    this->shared->stopped = true;
    if (this->shared->stream != nullptr)
        this->shared->stream->cancel();
    // gRPC may still be in a callback; the stream keeps what it needs until it is done.
}

void PeerClient::send(const PeerFrame &frame)
{
    PackedTable none; // Grants go the other way.
    absl::MutexLock lock(&this->shared->mutex);
    if (this->shared->stream != nullptr)
        this->shared->stream->send(toWire(frame, none));
}

void PeerClient::maintain(TimePoint now)
{
    {
        absl::MutexLock lock(&this->shared->mutex);
        if (this->shared->stopped || this->shared->stream != nullptr || now < this->shared->nextTry)
            return;
        this->shared->stream = new Stream(this->shared, this->target);
    }
    // Frames wait in the stream's queue until the connection stands.
    this->shared->onState(true);
}

} // namespace bilberry
