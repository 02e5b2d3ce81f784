/** @file peer_server.cpp gRPC server for streams between the system's processes. */
#include "net/peer_server_base.h"

#include "net/generated/peers.grpc.pb.h"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <atomic>
#include <deque>
#include <grpcpp/grpcpp.h>
#include <map>

namespace bilberry {

namespace {

/** Bound of the queue for one receiver; a further frame closes the stream. */
constexpr std::size_t MAX_QUEUED_FRAMES = 4'096;
constexpr int MAX_FRAME_BYTES = 64 << 20;
constexpr int STREAM_WINDOW_BYTES = 1 << 20;
constexpr int KEEPALIVE_MS = 1'000;

} // namespace

class PeerServer::Impl final : public rpc::Peers::CallbackService
{
public:
    /** One accepted stream; deletes itself in OnDone(), which is gRPC's last callback. */
    class Stream final : public grpc::ServerBidiReactor<rpc::Frame, rpc::Frame>
    {
    public:
        Stream(Impl &server, grpc::CallbackServerContext *context)
            : server(server)
            , context(context)
        {
            this->StartRead(&this->incoming);
        }

        void OnReadDone(bool ok) override
        {
            if (!ok || !this->server.handle(*this, this->incoming)) {
                this->close();
                return;
            }
            this->StartRead(&this->incoming);
        }

        void OnWriteDone(bool ok) override
        {
            bool finish = false;
            {
                absl::MutexLock lock(&this->mutex);
                this->server.queuedBytes -= this->queue.front().ByteSizeLong();
                this->queue.pop_front();
                this->writing = false;
                finish = this->closing;
                if (ok && !finish)
                    this->writeNext();
            }
            if (finish || !ok)
                this->close();
        }

        void OnCancel() override { this->close(); }

        void OnDone() override
        {
            for (const rpc::Frame &unsent : this->queue)
                this->server.queuedBytes -= unsent.ByteSizeLong();
            this->server.removeStream(this);
            delete this;
        }

        void send(rpc::Frame frame)
        {
            bool queueFull = false;
            {
                absl::MutexLock lock(&this->mutex);
                if (this->closing)
                    return;
                if (frame.has_grant())
                    this->dropSupersededGrants();
                queueFull = this->queue.size() >= MAX_QUEUED_FRAMES;
                if (!queueFull) {
                    this->server.queuedBytes += frame.ByteSizeLong();
                    this->queue.push_back(std::move(frame));
                    this->writeNext();
                }
            }
            if (queueFull)
                this->close();
        }

    private:
        /**
         * Removes unsent grants before a new grant, which supersedes them, is queued: they would
         * otherwise accumulate for a receiver that has stopped reading.
         */
        void dropSupersededGrants()
        {
            const auto firstUnsent = this->queue.begin() + (this->writing ? 1 : 0);
            this->queue.erase(std::remove_if(firstUnsent, this->queue.end(),
                                             [this](const rpc::Frame &waiting) {
                                                 if (waiting.has_grant())
                                                     this->server.queuedBytes
                                                         -= waiting.ByteSizeLong();
                                                 return waiting.has_grant();
                                             }),
                              this->queue.end());
        }

        void writeNext()
        {
            if (this->writing || this->queue.empty())
                return;
            this->writing = true;
            this->StartWrite(&this->queue.front());
        }

        void close()
        {
            absl::MutexLock lock(&this->mutex);
            this->closing = true;
            if (this->finished)
                return;
            if (this->writing) {
                this->context->TryCancel();
                return;
            }
            this->finished = true;
            this->Finish(grpc::Status::OK);
        }

        Impl &server;
        grpc::CallbackServerContext *context;
        rpc::Frame incoming;
        absl::Mutex mutex;
        std::deque<rpc::Frame> queue;
        bool writing = false;
        bool closing = false;
        bool finished = false;
    };

    explicit Impl(OnFrame onFrame)
        : onFrame(std::move(onFrame))
    {
    }

    grpc::ServerBidiReactor<rpc::Frame, rpc::Frame> *
    Exchange(grpc::CallbackServerContext *context) override
    {
        return new Stream(*this, context);
    }

    bool handle(Stream &stream, const rpc::Frame &wire)
    {
        Result<PeerFrame> frame = fromWire(wire);
        if (!frame)
            return false;
        if (const auto *message = std::get_if<HostMessage>(&frame.value())) {
            const HolderId holder = std::visit([](const auto &m) { return m.holder; }, *message);
            absl::MutexLock lock(&this->mutex);
            this->streamsByHolder[holder] = &stream;
        }
        return this->onFrame(std::move(frame).value(), wire.ByteSizeLong());
    }

    void removeStream(Stream *stream)
    {
        absl::MutexLock lock(&this->mutex);
        std::erase_if(this->streamsByHolder,
                      [&](const auto &item) { return item.second == stream; });
    }

    OnFrame onFrame;
    absl::Mutex mutex;
    /** Stream on which the latest message of each host run arrived. */
    std::map<HolderId, Stream *> streamsByHolder;
    EncodedTable tableCache;
    std::atomic<std::size_t> queuedBytes{0}; ///< Of all streams.
    std::unique_ptr<grpc::Server> server;
    int port = 0;
};

PeerServer::PeerServer(std::unique_ptr<Impl> impl)
    : impl(std::move(impl))
{
}

PeerServer::~PeerServer()
{
    this->shutdown();
}

Result<std::unique_ptr<PeerServer>> PeerServer::start(const Endpoint &endpoint, OnFrame onFrame)
{
    auto impl = std::make_unique<Impl>(std::move(onFrame));
    grpc::ServerBuilder builder;
    builder.AddListeningPort(endpoint.text(), grpc::InsecureServerCredentials(), &impl->port);
    builder.RegisterService(impl.get());
    builder.SetMaxReceiveMessageSize(MAX_FRAME_BYTES);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KEEPALIVE_MS);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KEEPALIVE_MS);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               KEEPALIVE_MS / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, STREAM_WINDOW_BYTES);
    impl->server = builder.BuildAndStart();
    if (!impl->server || impl->port == 0)
        return Errc::AddressInUse;
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

void PeerServer::sendToHost(const HolderId &holder, const ControlMessage &message)
{
    absl::MutexLock lock(&this->impl->mutex);
    rpc::Frame frame = toWire(message, this->impl->tableCache);
    const auto it = this->impl->streamsByHolder.find(holder);
    if (it != this->impl->streamsByHolder.end())
        it->second->send(std::move(frame));
}

std::size_t PeerServer::queuedBytes() const
{
    return this->impl->queuedBytes.load();
}

int PeerServer::port() const
{
    return this->impl->port;
}

void PeerServer::shutdown()
{
    if (!this->impl->server)
        return;
    this->impl->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
    this->impl->server->Wait();
    this->impl->server.reset();
}

} // namespace bilberry
