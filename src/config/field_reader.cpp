/** @file field_reader.cpp Reads and validates the fields of one JSON object. */
#include "config/field_reader_base.h"

#include <absl/strings/str_cat.h>

namespace bilberry {

FieldReader::FieldReader(const nlohmann::json &object, std::string file, std::string path,
                         std::vector<FieldProblem> &problems)
    : object(object)
    , file(std::move(file))
    , path(std::move(path))
    , problems(problems)
{
    if (!object.is_object())
        this->problems.push_back({this->file, this->path, "an object"});
}

const nlohmann::json *FieldReader::findField(const std::string &name)
{
    this->fieldsRead.insert(name);
    if (!this->object.is_object())
        return nullptr;
    const auto it = this->object.find(name);
    return it == this->object.end() ? nullptr : &*it;
}

void FieldReader::addProblem(const std::string &name, const std::string &expected)
{
    const std::string field = this->path.empty() ? name : absl::StrCat(this->path, ".", name);
    this->problems.push_back({this->file, field, expected});
}

std::string FieldReader::readString(const std::string &name, const std::string &fallback,
                                    bool required)
{
    const nlohmann::json *value = this->findField(name);
    if (value == nullptr) {
        if (required)
            this->addProblem(name, "a string (required)");
        return fallback;
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        this->addProblem(name, "a non-empty string");
        return fallback;
    }
    return value->get<std::string>();
}

double FieldReader::readNumber(const std::string &name, double fallback, double minimum,
                               double maximum)
{
    const nlohmann::json *value = this->findField(name);
    if (value == nullptr)
        return fallback;
    if (!value->is_number() || value->get<double>() < minimum || value->get<double>() > maximum) {
        this->addProblem(name, absl::StrCat("a number from ", minimum, " to ", maximum));
        return fallback;
    }
    return value->get<double>();
}

std::int64_t FieldReader::readInteger(const std::string &name, std::int64_t fallback,
                                      std::int64_t minimum, std::int64_t maximum)
{
    const nlohmann::json *value = this->findField(name);
    if (value == nullptr)
        return fallback;
    const bool fits = value->is_number_integer()
        && (!value->is_number_unsigned()
            || value->get<std::uint64_t>() <= static_cast<std::uint64_t>(maximum))
        && value->get<std::int64_t>() >= minimum && value->get<std::int64_t>() <= maximum;
    if (!fits) {
        this->addProblem(name, absl::StrCat("an integer from ", minimum, " to ", maximum));
        return fallback;
    }
    return value->get<std::int64_t>();
}

bool FieldReader::readBoolean(const std::string &name, bool fallback)
{
    const nlohmann::json *value = this->findField(name);
    if (value == nullptr)
        return fallback;
    if (!value->is_boolean()) {
        this->addProblem(name, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> FieldReader::readStringArray(const std::string &name,
                                                      std::vector<std::string> fallback)
{
    const nlohmann::json *value = this->findField(name);
    if (value == nullptr)
        return fallback;
    std::vector<std::string> out;
    bool valid = value->is_array();
    for (std::size_t i = 0; valid && i < value->size(); ++i) {
        valid = (*value)[i].is_string();
        if (valid)
            out.push_back((*value)[i].get<std::string>());
    }
    if (valid)
        return out;
    this->addProblem(name, "an array of strings");
    return fallback;
}

WorkClass FieldReader::readWorkClass(const std::string &name, WorkClass fallback)
{
    const nlohmann::json *value = this->findField(name);
    if (value == nullptr)
        return fallback;
    if (*value != "interactive" && *value != "bulk") {
        this->addProblem(name, "\"interactive\" or \"bulk\"");
        return fallback;
    }
    return value->get<WorkClass>();
}

const nlohmann::json &FieldReader::readRaw(const std::string &name)
{
    static const nlohmann::json absent;
    const nlohmann::json *value = this->findField(name);
    return value == nullptr ? absent : *value;
}

void FieldReader::reportUnknownFields()
{
    if (!this->object.is_object())
        return;
    for (const auto &[name, value] : this->object.items()) {
        if (!this->fieldsRead.contains(name))
            this->addProblem(name, "a known field name");
    }
}

} // namespace bilberry
