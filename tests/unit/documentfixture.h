#pragma once

#include <string>
#include <vector>

#include "documentfold.h"

/** Small documents, edits of them and an in-memory document stream. */
namespace documentfixture {

using namespace camphorshunt;

/** A valid document with one organisation of the given weight. */
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

/** A stream of encoded records; the index of a body is its offset. */
struct DocumentLog {
    std::vector<std::string> bodies;
    /** Offset of the first record that has not been trimmed. */
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
