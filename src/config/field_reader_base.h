/** @file field_reader_base.h Checked reading of one JSON object, field by field. */
#pragma once

#include "config/config_type.h"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace bilberry {

/** One broken field. */
struct FieldProblem
{
    std::string file;
    std::string field; ///< Path of the field inside the file.
    std::string expected; ///< What would have been right.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FieldProblem, file, field, expected)

/** Reads fields of one object and notes each wrong or unknown one. */
class FieldReader
{
public:
    /**
     * @param object The object to read; anything else is noted as a problem.
     * @param file Name of the file, for problems.
     * @param path Path of the object inside the file.
     * @param problems Where problems are noted; outlives the reader.
     */
    FieldReader(const nlohmann::json &object, std::string file, std::string path,
                std::vector<FieldProblem> &problems);

    /** @return The string at @p name, or @p fallback; empty strings are a problem. */
    std::string text(const std::string &name, const std::string &fallback, bool required = false);
    /** @return The number at @p name within [least, most], or @p fallback. */
    double number(const std::string &name, double fallback, double least, double most);
    /** @return The integer at @p name within [least, most], or @p fallback. */
    std::int64_t integer(const std::string &name, std::int64_t fallback, std::int64_t least,
                         std::int64_t most);
    bool boolean(const std::string &name, bool fallback);
    std::vector<std::string> texts(const std::string &name, std::vector<std::string> fallback);
    WorkClass workClass(const std::string &name, WorkClass fallback);
    /** @return The value at @p name, null if absent. */
    const nlohmann::json &raw(const std::string &name);
    /** Notes every field that nothing has read. */
    void finish();
    /** Notes a problem with @p name. */
    void problem(const std::string &name, const std::string &expected);

private:
    const nlohmann::json *find(const std::string &name);

    const nlohmann::json &object;
    std::string file;
    std::string path;
    std::vector<FieldProblem> &problems;
    std::set<std::string> known;
};

} // namespace bilberry
