/** @file folder.cpp Reads, merges and validates the files of a configuration folder. */
#include "config/folder_func.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bilberry {

namespace {

constexpr double MAX_RATE = 1e9;
constexpr std::int64_t MAX_MEMORY_MB = 100'000'000;
constexpr int MAX_REPLICAS = 1'000;
constexpr int MAX_TIME_LIMIT_MS = 3'600'000;
constexpr int MAX_PRIORITY = 1'000'000;

/** An entry merged from the files read so far. */
struct MergedEntry
{
    nlohmann::json body;
    std::string file; ///< Name of the last file with the entry; named in problems.
};

/** Merged entries of one section by id. */
using Section = std::map<std::string, MergedEntry>;

/** Merges the entries of one file into a section; an entry without an id is a problem. */
void mergeSection(const ConfigFile &file, const std::string &name, const nlohmann::json &entries,
                  Section &section, std::vector<FieldProblem> &problems)
{
    if (entries.is_null())
        return;
    if (!entries.is_array()) {
        problems.push_back({file.first, name, "an array of objects"});
        return;
    }
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const nlohmann::json &entry = entries[i];
        const bool hasId = entry.is_object() && entry.contains("id") && entry["id"].is_string()
            && !entry["id"].get_ref<const std::string &>().empty();
        if (!hasId) {
            problems.push_back(
                {file.first, absl::StrCat(name, "[", i, "].id"), "a string (required)"});
            continue;
        }
        MergedEntry &merged = section[entry["id"].get<std::string>()];
        if (merged.body.is_null())
            merged.body = nlohmann::json::object();
        merged.body.update(entry);
        merged.file = file.first;
    }
}

Account readAccount(FieldReader &reader)
{
    Account out;
    out.requestsPerSecond
        = reader.readNumber("requestsPerSecond", out.requestsPerSecond, 0, MAX_RATE);
    out.requestBurst = reader.readNumber("requestBurst", out.requestBurst, 1, MAX_RATE);
    out.tokensPerSecond = reader.readNumber("tokensPerSecond", out.tokensPerSecond, 0, MAX_RATE);
    out.tokenBurst = reader.readNumber("tokenBurst", out.tokenBurst, 1, MAX_RATE);
    out.weight = reader.readNumber("weight", out.weight, 0.01, 100);
    out.models = reader.readStringArray("models", out.models);
    out.routes = reader.readStringArray("routes", out.routes);
    if (!reader.readRaw("priority").is_null())
        out.priority = static_cast<int>(reader.readInteger("priority", 0, 0, MAX_PRIORITY));
    return out;
}

Model readModel(FieldReader &reader)
{
    Model out;
    for (std::string &adapter : reader.readStringArray("adapters", {}))
        out.adapters.emplace_back(std::move(adapter));
    out.memoryMb = reader.readInteger("memoryMb", out.memoryMb, 1, MAX_MEMORY_MB);
    out.adapterMemoryMb
        = reader.readInteger("adapterMemoryMb", out.adapterMemoryMb, 1, MAX_MEMORY_MB);
    out.minReplicas = static_cast<int>(reader.readInteger("minReplicas", 0, 0, MAX_REPLICAS));
    out.maxReplicas = static_cast<int>(reader.readInteger("maxReplicas", 4, 1, MAX_REPLICAS));
    out.version
        = Version(static_cast<std::uint64_t>(reader.readInteger("version", 1, 1, INT32_MAX)));
    out.workClass = reader.readWorkClass("class", out.workClass);
    out.timeLimitMs = static_cast<int>(
        reader.readInteger("timeLimitMs", out.timeLimitMs, 1, MAX_TIME_LIMIT_MS));
    if (out.minReplicas > out.maxReplicas)
        reader.addProblem("minReplicas", "at most maxReplicas");
    return out;
}

Route readRoute(FieldReader &reader)
{
    Route out;
    out.path = reader.readString("path", "/", true);
    out.service = reader.readString("service", "", true);
    out.repeatable = reader.readBoolean("repeatable", out.repeatable);
    out.open = reader.readBoolean("open", out.open);
    out.workClass = reader.readWorkClass("class", out.workClass);
    out.timeLimitMs = static_cast<int>(
        reader.readInteger("timeLimitMs", out.timeLimitMs, 1, MAX_TIME_LIMIT_MS));
    out.priority = static_cast<int>(reader.readInteger("priority", 0, 0, MAX_PRIORITY));
    if (!out.path.starts_with("/") || out.path.starts_with("/v1/"))
        reader.addProblem("path", "a path that starts with / and not with /v1/");
    return out;
}

TargetPolicy readTarget(FieldReader &reader)
{
    TargetPolicy out;
    out.checksFencing = reader.readBoolean("checksFencing", out.checksFencing);
    return out;
}

/** Validates the merged entries of a section and adds them to @p out. */
template <class Id, class Entry, class Read>
void readSection(const std::string &name, const Section &section, Read read,
                 std::map<Id, Entry> &out, std::vector<FieldProblem> &problems)
{
    for (const auto &[id, merged] : section) {
        FieldReader reader(merged.body, merged.file, absl::StrCat(name, "[", id, "]"), problems);
        reader.readString("id", "", true);
        Entry entry = read(reader);
        entry.id = Id(id);
        reader.reportUnknownFields();
        out.emplace(entry.id, std::move(entry));
    }
}

/** Checks that accounts name declared models and routes, and that no two routes share a path. */
void checkReferences(const FolderConfig &config, const std::map<std::string, Section> &sections,
                     std::vector<FieldProblem> &problems)
{
    for (const auto &[id, account] : config.accounts) {
        const std::string &file = sections.at("accounts").at(id.value).file;
        const std::string path = absl::StrCat("accounts[", id.value, "]");
        for (const std::string &name : account.models) {
            const std::vector<std::string> parts = absl::StrSplit(name, absl::MaxSplits(':', 1));
            const auto model = config.models.find(ModelId(parts[0]));
            const bool known = name == "*"
                || (model != config.models.end()
                    && (parts.size() == 1
                        || std::count(model->second.adapters.begin(), model->second.adapters.end(),
                                      AdapterId(parts[1]))
                            > 0));
            if (!known)
                problems.push_back({file, path + ".models",
                                    absl::StrCat("a declared model or model:adapter, not ", name)});
        }
        for (const std::string &name : account.routes) {
            if (name != "*" && !config.routes.contains(RouteId(name)))
                problems.push_back(
                    {file, path + ".routes", absl::StrCat("a declared route, not ", name)});
        }
    }
    std::map<std::string, RouteId> paths;
    for (const auto &[id, route] : config.routes) {
        const auto [it, added] = paths.emplace(route.path, id);
        if (!added)
            problems.push_back(
                {sections.at("routes").at(id.value).file,
                 absl::StrCat("routes[", id.value, "].path"),
                 absl::StrCat("a path that route ", it->second.value, " does not use")});
    }
}

} // namespace

Result<std::vector<ConfigFile>> readFolder(const std::string &folder)
{
    std::vector<ConfigFile> files;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() != ".json")
            continue;
        std::ifstream in(entry.path(), std::ios::binary);
        if (!in)
            return Errc::FileUnreadable;
        std::ostringstream content;
        content << in.rdbuf();
        files.emplace_back(entry.path().filename().string(), content.str());
    }
    if (error)
        return Errc::FileUnreadable;
    std::sort(files.begin(), files.end());
    return files;
}

CheckedFolder mergeConfigFiles(const std::vector<ConfigFile> &files)
{
    CheckedFolder out;
    const std::vector<std::string> names{"accounts", "models", "routes", "targets"};
    std::map<std::string, Section> sections;
    for (const std::string &name : names)
        sections[name];
    for (const ConfigFile &file : files) {
        const nlohmann::json content = nlohmann::json::parse(file.second, nullptr, false, true);
        if (content.is_discarded()) {
            out.problems.push_back({file.first, "", "valid JSON"});
            continue;
        }
        FieldReader reader(content, file.first, "", out.problems);
        for (const std::string &name : names)
            mergeSection(file, name, reader.readRaw(name), sections[name], out.problems);
        reader.reportUnknownFields();
    }
    readSection("accounts", sections["accounts"], readAccount, out.config.accounts, out.problems);
    readSection("models", sections["models"], readModel, out.config.models, out.problems);
    readSection("routes", sections["routes"], readRoute, out.config.routes, out.problems);
    readSection("targets", sections["targets"], readTarget, out.config.targets, out.problems);
    checkReferences(out.config, sections, out.problems);
    return out;
}

} // namespace bilberry
