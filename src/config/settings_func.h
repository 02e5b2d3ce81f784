/** @file settings_func.h Reads and checks the settings of a daemon. */
#pragma once

#include "config/field_reader_base.h"
#include "config/settings_type.h"

#include <vector>

namespace bilberry {

/** Outcome of reading settings; they count only if there is no problem. */
struct CheckedSettings
{
    Settings settings;
    std::vector<FieldProblem> problems;
};

/** @return Addresses of control hosts to begin with, "ip:port" each. */
std::vector<std::string> controlAddressesOf(const Settings &settings);

/** @return Settings from the JSON text @p content of @p file. */
CheckedSettings checkSettings(const std::string &file, const std::string &content);

} // namespace bilberry
