/** @file control_memory.cpp What the memory of a control member holds, by holder. */
#include "core/json_func.h"
#include "daemon/control_memory_base.h"

#include <absl/strings/str_cat.h>

namespace bilberry {

nlohmann::json toLogFields(const ControlMemory &memory)
{
    return {{"operatorCalls", memory.operatorCalls},
            {"callLimit", memory.callLimit},
            {"log", memory.log},
            {"snapshot", memory.snapshot},
            {"memberFrames", memory.memberFrames},
            {"hostFrames", memory.hostFrames},
            {"resident", memory.process.resident},
            {"allocated", memory.process.allocated},
            {"freed", memory.process.freed}};
}

std::string formatMetrics(const ControlMemory &memory)
{
    std::string out;
    const auto add = [&out](const std::string &labels, std::size_t bytes) {
        absl::StrAppend(&out, "bilberrybend_control_memory_bytes{", labels, "} ", bytes, "\n");
    };
    add("holder=\"operator_calls\"", memory.operatorCalls);
    add("holder=\"log\"", memory.log);
    add("holder=\"snapshot\"", memory.snapshot);
    for (const auto &[address, bytes] : memory.memberFrames)
        add(absl::StrCat("holder=\"member_frames\",member=\"", address, "\""), bytes);
    add("holder=\"host_frames\"", memory.hostFrames);
    add("holder=\"allocated\"", memory.process.allocated);
    add("holder=\"freed\"", memory.process.freed);
    add("holder=\"resident\"", memory.process.resident);
    absl::StrAppend(&out, "bilberrybend_operator_call_limit_bytes ", memory.callLimit, "\n");
    return out;
}

} // namespace bilberry
