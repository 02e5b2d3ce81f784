/** @file folder_func.h The configuration folder: read, merge in the order of names, check. */
#pragma once

#include "config/config_type.h"
#include "config/field_reader_base.h"

#include <string>
#include <utility>
#include <vector>

namespace bilberry {

/** Name and content of one configuration file. */
using ConfigFile = std::pair<std::string, std::string>;

/** Outcome of checking a folder; the configuration counts only if there is no problem. */
struct CheckedFolder
{
    FolderConfig config;
    std::vector<FieldProblem> problems;
};

/** @return All *.json files of @p folder in the order of their names. */
Result<std::vector<ConfigFile>> readFolder(const std::string &folder);

/**
 * Merges files in the given order: a later entry replaces the fields it names of an earlier entry
 * with the same id. Then checks the whole.
 */
CheckedFolder checkFolder(const std::vector<ConfigFile> &files);

} // namespace bilberry
