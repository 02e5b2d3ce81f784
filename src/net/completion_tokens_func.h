/** @file completion_tokens_func.h Number of generated tokens that a target's answer states. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bilberry {

/** @return The number in usage.completion_tokens of the JSON object @p text; nothing if there is
 * none or @p text is no JSON object. */
std::optional<std::int64_t> readCompletionTokens(const std::string &text);

} // namespace bilberry
