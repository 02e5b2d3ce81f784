/** @file library_answer.cpp Answers to callers that libmicrohttpd sends. */
#include "net/library_answer_func.h"

#include "net/connection_state_func.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace bilberry {

namespace {

constexpr std::size_t STREAM_BLOCK_BYTES = 16 << 10;

/** State of readStream(). */
struct StreamReader
{
    std::shared_ptr<Exchange> exchange;
    MHD_Connection *connection;
};

/** Takes bytes of a stream; suspends the connection while there are none. */
ssize_t readStream(void *state, std::uint64_t, char *out, std::size_t max)
{
    auto &reader = *static_cast<StreamReader *>(state);
    Exchange &exchange = *reader.exchange;
    std::function<void()> onBufferSpace;
    std::size_t size = 0;
    {
        absl::MutexLock lock(&exchange.mutex);
        if (exchange.buffer.empty()) {
            if (exchange.ended)
                return exchange.broken ? MHD_CONTENT_READER_END_WITH_ERROR
                                       : MHD_CONTENT_READER_END_OF_STREAM;
            MHD_Connection *connection = reader.connection;
            MHD_suspend_connection(connection);
            exchange.resumeCaller = [connection]() { MHD_resume_connection(connection); };
            return 0;
        }
        size = std::min(max, exchange.buffer.size());
        std::memcpy(out, exchange.buffer.data(), size);
        exchange.buffer.erase(0, size);
        exchange.countHeld();
        onBufferSpace = std::exchange(exchange.onBufferSpace, nullptr);
    }
    if (onBufferSpace)
        onBufferSpace();
    return static_cast<ssize_t>(size);
}

void freeReader(void *state)
{
    delete static_cast<StreamReader *>(state);
}

} // namespace

MHD_Result queueAnswer(MHD_Connection *connection, const std::shared_ptr<Exchange> &exchange,
                       bool closes)
{
    MHD_Response *response = nullptr;
    if (exchange->streamed)
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, &readStream,
            new StreamReader{exchange, connection}, &freeReader);
    else
        response = MHD_create_response_from_buffer(exchange->buffer.size(), exchange->buffer.data(),
                                                   MHD_RESPMEM_MUST_COPY);
    if (!exchange->contentType.empty())
        MHD_add_response_header(response, "Content-Type", exchange->contentType.c_str());
    for (const auto &[name, value] : exchange->headers)
        MHD_add_response_header(response, name.c_str(), value.c_str());
    if (closes)
        MHD_add_response_header(response, "Connection", "close");
    const MHD_Result queued
        = MHD_queue_response(connection, static_cast<unsigned>(exchange->status), response);
    MHD_destroy_response(response);
    return queued;
}

AnswerEnd endOfAnswer(Exchange &exchange, MHD_RequestTerminationCode code)
{
    if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
        return AnswerEnd::Delivered;
    if (code == MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN)
        return AnswerEnd::Stopped;
    if (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED)
        return AnswerEnd::CallerStalled;
    if (code != MHD_REQUEST_TERMINATED_WITH_ERROR || !isPeerConnected(exchange.callerSocket))
        return AnswerEnd::CallerLeft;
    absl::MutexLock lock(&exchange.mutex);
    return exchange.broken ? AnswerEnd::BrokenOff : AnswerEnd::LibraryFailed;
}

} // namespace bilberry
