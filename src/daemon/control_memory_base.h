/** @file control_memory_base.h What the memory of a control member holds, by holder. */
#pragma once

#include "core/time_type.h"
#include "daemon/process_memory_func.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bilberry {

/** All in bytes, as encoded; a decoded tree takes a multiple. */
struct ControlMemory
{
    std::size_t operatorCalls = 0; ///< Calls of operators that arrived and are not decided.
    std::size_t callLimit = 0; ///< Bound of @c operatorCalls; 0: none.
    std::size_t log = 0; ///< Log entries after the latest snapshot.
    std::size_t snapshot = 0; ///< Latest snapshot.
    std::map<std::string, std::size_t> memberFrames; ///< Not yet sent to other members, by address.
    std::size_t hostFrames = 0; ///< Not yet sent to hosts.
    ProcessMemory process;
};

nlohmann::json toLogFields(const ControlMemory &memory);

/** @return Gauges in the Prometheus text format. */
std::string formatMetrics(const ControlMemory &memory);

} // namespace bilberry
