#include "texttable.h"

#include <algorithm>
#include <utility>

namespace camphorshunt::ctl {

namespace {

constexpr auto columnGap = std::size_t { 2 };

} // namespace

TextTable::TextTable(Row heading)
    : rows_ { std::move(heading) }
{
}

auto TextTable::add(Row row) -> void { rows_.push_back(std::move(row)); }

auto TextTable::text() const -> std::string
{
    auto widths = std::vector<std::size_t> {};
    for (const auto& row : rows_) {
        widths.resize(std::max(widths.size(), row.size()));
        for (auto column = std::size_t { 0 }; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    auto text = std::string {};
    for (const auto& row : rows_) {
        auto line = std::string {};
        for (auto column = std::size_t { 0 }; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] + columnGap - row[column].size(), ' ');
        }
        line.resize(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

} // namespace camphorshunt::ctl
