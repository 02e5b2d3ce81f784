/** @file log.cpp Structured log, written by a background thread of Boost.Log. */
#include "core/log_func.h"

#include "core/time_type.h"

#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/make_shared.hpp>
#include <fstream>
#include <iostream>

namespace bilberry {

namespace {

constexpr std::size_t MAX_QUEUED_LINES
    = 4'096; ///< Capacity of the queue; further lines are dropped.
constexpr std::int64_t MAX_LINES_PER_SECOND
    = 400; ///< Limit of logEventRateLimited(); further lines are only counted.

using Backend = boost::log::sinks::text_ostream_backend;
using Sink = boost::log::sinks::asynchronous_sink<
    Backend,
    boost::log::sinks::bounded_fifo_queue<MAX_QUEUED_LINES, boost::log::sinks::drop_on_overflow>>;

std::string hostName; ///< Set once by openLog().
boost::shared_ptr<Sink> sink; ///< Null until openLog().
std::atomic<std::int64_t> countedSecond{0}; ///< Unix time in seconds that linesInSecond refers to.
std::atomic<std::int64_t> linesInSecond{0}; ///< Calls of logEventRateLimited() in that second.
std::atomic<std::int64_t> linesLeftOut{0}; ///< Omitted lines that no written line has reported yet.

boost::shared_ptr<std::ostream> openStream(const std::string &file)
{
    if (file.empty())
        return boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter());
    return boost::make_shared<std::ofstream>(file, std::ios::app);
}

/**
 * Counts a line towards the limit of @p second (Unix time).
 * @return Whether the line is within the limit.
 */
bool isWithinLimit(std::int64_t second)
{
    if (countedSecond.exchange(second) != second)
        linesInSecond = 0;
    return ++linesInSecond <= MAX_LINES_PER_SECOND;
}

} // namespace

void openLog(const std::string &file, const std::string &host)
{
    hostName = host;
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(openStream(file));
    backend->auto_flush(true);
    sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void closeLog()
{
    if (!sink)
        return;
    sink->stop();
    sink->flush();
}

void logEventRateLimited(const std::string &event, nlohmann::json fields)
{
    if (!isWithinLimit(WallClock::unixSeconds())) {
        ++linesLeftOut;
        return;
    }
    if (const std::int64_t leftOut = linesLeftOut.exchange(0); leftOut > 0)
        fields["linesLeftOut"] = leftOut;
    logEvent(event, fields);
}

void logEvent(const std::string &event, const nlohmann::json &fields)
{
    nlohmann::json line = fields;
    line["event"] = event;
    line["host"] = hostName;
    line["unixMs"] = WallClock::unixMs();
    BOOST_LOG_TRIVIAL(info) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bilberry
