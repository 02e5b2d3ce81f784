/** @file log.cpp Structured log lines by Boost.Log. */
#include "core/log_func.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <chrono>
#include <iostream>

namespace bilberry {

namespace {

std::string hostName; // Set once by openLog().

} // namespace

void openLog(const std::string &file, const std::string &host)
{
    namespace keywords = boost::log::keywords;
    hostName = host;
    const auto format = boost::log::expressions::stream << boost::log::expressions::smessage;
    if (file.empty())
        boost::log::add_console_log(std::cerr, keywords::format = format,
                                    keywords::auto_flush = true);
    else
        boost::log::add_file_log(keywords::file_name = file,
                                 keywords::open_mode = std::ios_base::app,
                                 keywords::format = format, keywords::auto_flush = true);
}

void logChange(const std::string &event, const nlohmann::json &fields)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::json line = fields;
    line["event"] = event;
    line["host"] = hostName;
    line["unixMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    BOOST_LOG_TRIVIAL(info) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bilberry
