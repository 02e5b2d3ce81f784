/** @file folder_func.h Reads, merges and validates the files of a configuration folder. */
#pragma once

#include "config/config_type.h"
#include "config/field_reader_base.h"

#include <string>
#include <utility>
#include <vector>

namespace bilberry {

/** Name and content of one configuration file. */
using ConfigFile = std::pair<std::string, std::string>;

/** Result of mergeConfigFiles(); the configuration is valid only if there are no problems. */
struct CheckedFolder
{
    FolderConfig config;
    std::vector<FieldProblem> problems;
};

/** @return All *.json files of @p folder sorted by name, or Errc::FileUnreadable. */
Result<std::vector<ConfigFile>> readFolder(const std::string &folder);

/**
 * Merges files in the given order and validates the result. Of two entries with
 * the same id, the fields of the later entry override those of the earlier one.
 */
CheckedFolder mergeConfigFiles(const std::vector<ConfigFile> &files);

} // namespace bilberry
