#pragma once

#include <string>
#include <vector>

#include "documentfold.h"

/** Small documents and a document stream in memory. */
namespace documentfixture {

using namespace camphorshunt;

/** A valid document of a service with one organisation of this weight. */
inline auto body(const std::string& service, int weight) -> std::string
{
    return R"({"service":")" + service
        + R"(","upstreamKind":"plain-service","organisations":[{"name":"a","weight":)"
        + std::to_string(weight) + R"(,"keyDigests":[")" + std::string(64, 'a')
        + R"("]}],"operations":[{"name":"o"}],"upstreams":[]})";
}

inline auto edit(const std::string& id, std::uint64_t base, int weight, const std::string& service = "s")
    -> EditRecord
{
    return { service, id, Offset { base }, "author", EditKind::Whole, body(service, weight) };
}

inline auto patch(const std::string& id, std::uint64_t base, std::string text) -> EditRecord
{
    return { "s", id, Offset { base }, "author", EditKind::Patch, std::move(text) };
}

struct DocumentLog {
    std::vector<std::string> bodies;
    std::size_t first {};

    template <typename Record> auto add(const Record& record) -> void
    {
        bodies.push_back(encodeRecord(record));
    }
    auto read(std::size_t from, std::size_t maxRecords = 1000) const -> LogRead
    {
        auto read = LogRead { "documents", Offset { first }, Offset { bodies.size() }, {} };
        for (auto i = std::max(from, first); i < bodies.size() && read.records.size() < maxRecords; ++i)
            read.records.push_back({ Offset { i }, bodies[i] });
        return read;
    }
};

} // namespace documentfixture
