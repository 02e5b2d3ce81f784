/** @file field_reader.cpp Checked reading of one JSON object. */
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

const nlohmann::json *FieldReader::find(const std::string &name)
{
    this->known.insert(name);
    if (!this->object.is_object())
        return nullptr;
    const auto it = this->object.find(name);
    return it == this->object.end() ? nullptr : &*it;
}

void FieldReader::problem(const std::string &name, const std::string &expected)
{
    const std::string field = this->path.empty() ? name : absl::StrCat(this->path, ".", name);
    this->problems.push_back({this->file, field, expected});
}

std::string FieldReader::text(const std::string &name, const std::string &fallback, bool required)
{
    const nlohmann::json *value = this->find(name);
    if (value == nullptr) {
        if (required)
            this->problem(name, "a string (required)");
        return fallback;
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        this->problem(name, "a non-empty string");
        return fallback;
    }
    return value->get<std::string>();
}

double FieldReader::number(const std::string &name, double fallback, double least, double most)
{
    const nlohmann::json *value = this->find(name);
    if (value == nullptr)
        return fallback;
    if (!value->is_number() || value->get<double>() < least || value->get<double>() > most) {
        this->problem(name, absl::StrCat("a number from ", least, " to ", most));
        return fallback;
    }
    return value->get<double>();
}

std::int64_t FieldReader::integer(const std::string &name, std::int64_t fallback,
                                  std::int64_t least, std::int64_t most)
{
    const nlohmann::json *value = this->find(name);
    if (value == nullptr)
        return fallback;
    const bool fits = value->is_number_integer()
        && (!value->is_number_unsigned()
            || value->get<std::uint64_t>() <= static_cast<std::uint64_t>(most))
        && value->get<std::int64_t>() >= least && value->get<std::int64_t>() <= most;
    if (!fits) {
        this->problem(name, absl::StrCat("an integer from ", least, " to ", most));
        return fallback;
    }
    return value->get<std::int64_t>();
}

bool FieldReader::boolean(const std::string &name, bool fallback)
{
    const nlohmann::json *value = this->find(name);
    if (value == nullptr)
        return fallback;
    if (!value->is_boolean()) {
        this->problem(name, "true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> FieldReader::texts(const std::string &name,
                                            std::vector<std::string> fallback)
{
    const nlohmann::json *value = this->find(name);
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
    this->problem(name, "an array of strings");
    return fallback;
}

WorkClass FieldReader::workClass(const std::string &name, WorkClass fallback)
{
    const nlohmann::json *value = this->find(name);
    if (value == nullptr)
        return fallback;
    if (*value != "interactive" && *value != "bulk") {
        this->problem(name, "\"interactive\" or \"bulk\"");
        return fallback;
    }
    return value->get<WorkClass>();
}

const nlohmann::json &FieldReader::raw(const std::string &name)
{
    static const nlohmann::json absent;
    const nlohmann::json *value = this->find(name);
    return value == nullptr ? absent : *value;
}

void FieldReader::finish()
{
    if (!this->object.is_object())
        return;
    for (const auto &[name, value] : this->object.items()) {
        if (!this->known.contains(name))
            this->problem(name, "no such field");
    }
}

} // namespace bilberry
