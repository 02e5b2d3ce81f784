/** @file completion_tokens.cpp Number of generated tokens that a target's answer states. */
#include "core/json_func.h"
#include "net/completion_tokens_func.h"

namespace bilberry {

namespace {

/**
 * Reads the number in usage.completion_tokens of a JSON answer and keeps nothing else: a tree of
 * the values, such as that of nlohmann::json::parse(), can need many times the memory of the text.
 */
class TokenReader : public nlohmann::json_sax<nlohmann::json>
{
public:
    /** @return The number in @p text; empty if there is none or @p text is no JSON object. */
    static std::optional<std::int64_t> read(const std::string &text)
    {
        TokenReader reader;
        const bool parsed = nlohmann::json::sax_parse(text, &reader);
        return parsed ? reader.tokens : std::nullopt;
    }

    bool null() override { return this->atValue(); }
    bool boolean(bool) override { return this->atValue(); }
    bool number_integer(std::int64_t value) override { return this->atNumber(value); }
    bool number_unsigned(std::uint64_t value) override
    {
        return this->atNumber(static_cast<std::int64_t>(value));
    }
    bool number_float(double, const std::string &) override { return this->atValue(); }
    bool string(std::string &) override { return this->atValue(); }
    bool binary(nlohmann::json::binary_t &) override { return this->atValue(); }
    bool start_object(std::size_t) override { return this->enter(true); }
    bool end_object() override { return this->leave(); }
    bool start_array(std::size_t) override { return this->enter(false); }
    bool end_array() override { return this->leave(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &) override
    {
        return false;
    }

    bool key(std::string &name) override
    {
        // The last of several members with the same name counts.
        if (this->depth == 1) {
            this->usageFollows = name == "usage";
            if (this->usageFollows)
                this->tokens.reset();
        }
        this->tokensFollow = this->inUsage && this->depth == 2 && name == "completion_tokens";
        if (this->tokensFollow)
            this->tokens.reset();
        return true;
    }

private:
    bool atValue()
    {
        this->usageFollows = false;
        this->tokensFollow = false;
        return this->depth > 0; // Ends the parsing of a text that is no object.
    }

    bool atNumber(std::int64_t value)
    {
        if (this->tokensFollow)
            this->tokens = value;
        return this->atValue();
    }

    bool enter(bool object)
    {
        if (this->depth == 0 && !object)
            return false;
        if (this->depth == 1)
            this->inUsage = object && this->usageFollows;
        this->usageFollows = false;
        this->tokensFollow = false;
        ++this->depth;
        return true;
    }

    bool leave()
    {
        --this->depth;
        if (this->depth == 1)
            this->inUsage = false;
        return true;
    }

    std::size_t depth = 0; ///< Number of objects and arrays around the next value.
    bool usageFollows = false; ///< The next value is that of "usage" of the answer.
    bool inUsage = false; ///< The next value is within "usage".
    bool tokensFollow = false; ///< The next value is the number of tokens.
    std::optional<std::int64_t> tokens;
};

} // namespace

std::optional<std::int64_t> readCompletionTokens(const std::string &text)
{
    return TokenReader::read(text);
}

} // namespace bilberry
