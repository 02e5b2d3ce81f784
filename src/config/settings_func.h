/** @file settings_func.h Parses and validates the settings of a daemon. */
#pragma once

#include "config/field_reader_base.h"
#include "config/settings_type.h"

#include <vector>

namespace bilberry {

/** Result of parseSettings(); the settings are valid only if there are no problems. */
struct CheckedSettings
{
    Settings settings;
    std::vector<FieldProblem> problems;
};

/** @return Addresses ("ip:port") of the control hosts to which a host connects first. */
std::vector<std::string> initialControlAddresses(const Settings &settings);

/**
 * Parses and validates the settings.
 * @param file Name of the file, for problems.
 * @param content Content of the file, JSON with comments allowed.
 */
CheckedSettings parseSettings(const std::string &file, const std::string &content);

} // namespace bilberry
