/** @file field_reader_base.h Reads and validates the fields of one JSON object. */
#pragma once

#include "config/config_type.h"
#include "core/json_func.h"

#include <set>
#include <string>
#include <vector>

namespace bilberry {

/** A field that failed validation. */
struct FieldProblem
{
    std::string file; ///< Name of the file.
    std::string field; ///< Path of the field in the file; empty: the whole file.
    std::string expected; ///< Description of a valid value.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(FieldProblem, file, field, expected)

/** Reads the fields of one JSON object and records a problem for each invalid or unknown field. */
class FieldReader
{
public:
    /**
     * @param object The object to read, which outlives the reader; a value of another type is
     *        recorded as a problem.
     * @param file Name of the file, for problems.
     * @param path Path of the object in the file, for problems; empty: the top level.
     * @param problems List to which problems are added; outlives the reader.
     */
    FieldReader(const nlohmann::json &object, std::string file, std::string path,
                std::vector<FieldProblem> &problems);

    /**
     * Reads a non-empty string.
     * @param required Whether a missing field is a problem.
     * @return The string, or @p fallback if the field is missing or invalid.
     */
    std::string readString(const std::string &name, const std::string &fallback,
                           bool required = false);
    /** @return The number in [minimum, maximum], or @p fallback if it is missing or invalid. */
    double readNumber(const std::string &name, double fallback, double minimum, double maximum);
    /** @return The integer in [minimum, maximum], or @p fallback if it is missing or invalid. */
    std::int64_t readInteger(const std::string &name, std::int64_t fallback, std::int64_t minimum,
                             std::int64_t maximum);
    /** @return The value, or @p fallback if it is missing or invalid. */
    bool readBoolean(const std::string &name, bool fallback);
    /** @return The strings of an array, or @p fallback if it is missing or invalid. */
    std::vector<std::string> readStringArray(const std::string &name,
                                             std::vector<std::string> fallback);
    /** @return The scheduling class, or @p fallback if it is missing or invalid. */
    WorkClass readWorkClass(const std::string &name, WorkClass fallback);
    /** @return The value without validation; JSON null if the field is missing. */
    const nlohmann::json &readRaw(const std::string &name);
    /** Records a problem for each field that was not read. */
    void reportUnknownFields();
    /** Records a problem for the field @p name. @param expected Description of a valid value. */
    void addProblem(const std::string &name, const std::string &expected);

private:
    /** Marks the field as read. @return The value, or nullptr if the field is missing. */
    const nlohmann::json *findField(const std::string &name);

    const nlohmann::json &object;
    std::string file;
    std::string path;
    std::vector<FieldProblem> &problems;
    std::set<std::string> fieldsRead; ///< Names of the fields read so far.
};

} // namespace bilberry
