#pragma once

#include <string>
#include <vector>

namespace camphorshunt::ctl {

/** Plain text with aligned columns; the first row is the heading. */
class TextTable {
public:
    using Row = std::vector<std::string>;

    explicit TextTable(Row heading);

    auto add(Row row) -> void;
    auto text() const -> std::string;

private:
    std::vector<Row> rows_;
};

} // namespace camphorshunt::ctl
