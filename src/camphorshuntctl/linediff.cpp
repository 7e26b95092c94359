#include "linediff.h"

#include <algorithm>
#include <vector>

namespace camphorshunt::ctl {

namespace {

using Lines = std::vector<std::string_view>;

auto split(std::string_view text) -> Lines
{
    auto lines = Lines {};
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

/** Element [i][j] is the length of the longest common subsequence of `before` from i and `after` from j. */
auto commonLengths(const Lines& before, const Lines& after) -> std::vector<std::vector<std::size_t>>
{
    auto lengths = std::vector(before.size() + 1, std::vector<std::size_t>(after.size() + 1));
    for (auto left = before.size(); left-- > 0;) {
        for (auto right = after.size(); right-- > 0;) {
            lengths[left][right] = before[left] == after[right]
                ? lengths[left + 1][right + 1] + 1
                : std::max(lengths[left + 1][right], lengths[left][right + 1]);
        }
    }
    return lengths;
}

auto appendLine(std::string& text, char sign, std::string_view line) -> void
{
    text += sign;
    text += ' ';
    text += line;
    text += '\n';
}

} // namespace

auto lineDiff(std::string_view before, std::string_view after) -> std::string
{
    const auto old = split(before);
    const auto changed = split(after);
    const auto lengths = commonLengths(old, changed);
    auto text = std::string {};
    auto left = std::size_t {};
    auto right = std::size_t {};
    while (left < old.size() || right < changed.size()) {
        if (left < old.size() && right < changed.size() && old[left] == changed[right]) {
            ++left;
            ++right;
        } else if (right == changed.size()
            || (left < old.size() && lengths[left + 1][right] >= lengths[left][right + 1])) {
            appendLine(text, '-', old[left++]);
        } else {
            appendLine(text, '+', changed[right++]);
        }
    }
    return text;
}

} // namespace camphorshunt::ctl
