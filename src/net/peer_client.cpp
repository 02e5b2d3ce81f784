/** @file peer_client.cpp gRPC client for streams between the system's processes. */
#include "net/peer_client_base.h"

#include "net/generated/peers.grpc.pb.h"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <deque>
#include <grpcpp/grpcpp.h>

namespace bilberry {

namespace {

constexpr std::size_t MAX_QUEUED_FRAMES = 4'096;
/** Bound of the frames queued for one receiver; an empty queue accepts a frame of any size. */
constexpr std::size_t MAX_QUEUED_BYTES = 8 << 20;
constexpr int MAX_FRAME_BYTES = 64 << 20;
constexpr int STREAM_WINDOW_BYTES = 1 << 20;
constexpr int KEEPALIVE_MS = 1'000;
constexpr Duration MIN_RECONNECT_BACKOFF = 50ms;
constexpr Duration MAX_RECONNECT_BACKOFF = 500ms;

std::shared_ptr<grpc::Channel> makeChannel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // Channels share connections by default; a reconnect must not reuse one that has stalled.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KEEPALIVE_MS);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KEEPALIVE_MS);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0); // Its pings would outnumber small messages.
    arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, STREAM_WINDOW_BYTES);
    arguments.SetMaxReceiveMessageSize(MAX_FRAME_BYTES);
    auto channel = grpc::CreateCustomChannel("ipv4:" + address, grpc::InsecureChannelCredentials(),
                                             arguments);
    // gRPC stops its callback threads when the last channel is destroyed, and aborts if a channel
    // is created at that moment; the first channel is therefore never released.
    static const auto *firstChannel = new std::shared_ptr<grpc::Channel>(channel);
    (void)firstChannel;
    return channel;
}

} // namespace

/** State shared by the client and its current stream; the stream may outlive the client. */
struct PeerClient::Shared
{
    OnFrame onFrame;
    OnStreamChange onStreamChange;
    absl::Mutex mutex;
    Stream *stream = nullptr;
    bool stopped = false;
    TimePoint nextConnectAt;
    Duration backoff = MIN_RECONNECT_BACKOFF;
};

/** One gRPC call; deletes itself in OnDone(), which is gRPC's last callback. */
class PeerClient::Stream final : public grpc::ClientBidiReactor<rpc::Frame, rpc::Frame>
{
public:
    Stream(std::shared_ptr<Shared> shared, const std::string &address)
        : shared(std::move(shared))
        , channel(makeChannel(address))
        , stub(rpc::Peers::NewStub(this->channel))
    {
        this->stub->async()->Exchange(&this->context, this);
        // Writes are started outside gRPC's callbacks; the hold keeps gRPC from ending the call
        // until OnReadDone() has prevented further writes.
        this->AddHold();
        this->StartRead(&this->incoming);
        this->StartCall();
    }

    void OnReadInitialMetadataDone(bool ok) override
    {
        if (ok)
            this->resetBackoff();
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
        this->resetBackoff();
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
        bool notify = false;
        {
            absl::MutexLock lock(&this->shared->mutex);
            this->shared->stream = nullptr;
            this->shared->nextConnectAt = MonotonicClock::now() + this->shared->backoff;
            this->shared->backoff = std::min(2 * this->shared->backoff, MAX_RECONNECT_BACKOFF);
            notify = !this->shared->stopped;
        }
        if (notify)
            this->shared->onStreamChange(false);
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

    std::size_t bytesQueued()
    {
        absl::MutexLock lock(&this->mutex);
        return this->queuedBytes;
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

    void resetBackoff()
    {
        absl::MutexLock lock(&this->shared->mutex);
        this->shared->backoff = MIN_RECONNECT_BACKOFF;
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
    bool closed = false; ///< The read side has failed; no further write may start.
};

PeerClient::PeerClient(std::string address, OnFrame onFrame, OnStreamChange onStreamChange)
    : peerAddress(std::move(address))
    , shared(std::make_shared<Shared>())
{
    this->shared->onFrame = std::move(onFrame);
    this->shared->onStreamChange = std::move(onStreamChange);
}

PeerClient::~PeerClient()
{
    absl::MutexLock lock(&this->shared->mutex);
    this->shared->stopped = true;
    if (this->shared->stream != nullptr)
        this->shared->stream->cancel();
    // A gRPC callback may still be running: the stream shares ownership of the state until
    // OnDone().
}

void PeerClient::send(const PeerFrame &frame)
{
    EncodedTable unusedCache; // Only the control group sends grants, which contain tables.
    absl::MutexLock lock(&this->shared->mutex);
    if (this->shared->stream != nullptr)
        this->shared->stream->send(toWire(frame, unusedCache));
}

std::size_t PeerClient::queuedBytes() const
{
    absl::MutexLock lock(&this->shared->mutex);
    return this->shared->stream == nullptr ? 0 : this->shared->stream->bytesQueued();
}

void PeerClient::openIfDue(TimePoint now)
{
    {
        absl::MutexLock lock(&this->shared->mutex);
        if (this->shared->stopped || this->shared->stream != nullptr
            || now < this->shared->nextConnectAt)
            return;
        this->shared->stream = new Stream(this->shared, this->peerAddress);
    }
    // Frames wait in the stream's queue until the connection is established.
    this->shared->onStreamChange(true);
}

} // namespace bilberry
