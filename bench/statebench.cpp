#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "camphorshunt/document.h"
#include "camphorshunt/logrecord.h"

#include "claimsfold.h"
#include "claimsrecord.h"
#include "documentfold.h"
#include "framecodec.h"
#include "membership.h"

namespace {

using namespace camphorshunt;

constexpr auto serviceName = "assistant";

auto hexDigest(std::size_t number) -> std::string
{
    auto text = std::to_string(number);
    return std::string(64 - text.size(), '0') + text;
}

auto documentText(std::size_t organisations) -> std::string
{
    auto text = std::string(R"({"service":"assistant","upstreamKind":"model-engine","organisations":[)");
    for (auto index = std::size_t {}; index < organisations; ++index) {
        text += (index == 0 ? "" : ",") + std::string(R"({"name":"organisation-)") + std::to_string(index)
            + R"(","weight":1,"keyDigests":[")" + hexDigest(index) + R"("]})";
    }
    text += R"(],"operations":[{"name":"chat"}],"upstreams":[)"
            R"({"name":"e1","address":"127.0.0.1:7101","failureDomain":"a","slots":8}]})";
    return text;
}

auto recordOf(const EditRecord& edit) -> std::string { return encodeRecord(edit); }

auto wholeEdit(std::size_t organisations) -> EditRecord
{
    return { serviceName, "edit-0", {}, "operator", EditKind::Whole, documentText(organisations) };
}

auto parseDocument(benchmark::State& state) -> void
{
    const auto text = documentText(static_cast<std::size_t>(state.range(0)));
    for (auto step : state)
        benchmark::DoNotOptimize(Document::parse(text).has_value());
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(parseDocument)->Arg(16)->Arg(1000)->Arg(9700)->Unit(benchmark::kMicrosecond);

/** One merge patch that changes a limit; the argument is the document's number of organisations. */
auto foldPatch(benchmark::State& state) -> void
{
    const auto whole = recordOf(wholeEdit(static_cast<std::size_t>(state.range(0))));
    auto fold = DocumentFold {};
    auto offset = std::uint64_t {};
    fold.apply({ "documents", { 0 }, { 1 }, { { { offset++ }, whole } } });
    auto bytes = std::size_t {};
    for (auto step : state) {
        const auto edit = EditRecord { serviceName, "edit-" + std::to_string(offset),
            fold.find(serviceName)->version, "operator", EditKind::Patch,
            R"({"limits":{"queueTotal":)" + std::to_string(1000 + offset % 1000) + "}}" };
        const auto record = recordOf(edit);
        bytes = record.size();
        fold.apply({ "documents", { 0 }, { offset + 1 }, { { { offset }, record } } });
        ++offset;
    }
    state.counters["recordBytes"] = static_cast<double>(bytes);
    state.counters["snapshotBytes"] = static_cast<double>(encodeRecord(fold.snapshot(serviceName)).size());
}
BENCHMARK(foldPatch)->Arg(16)->Arg(1000)->Arg(9700)->Unit(benchmark::kMicrosecond);

/** One record with the given number of claims and the settles of as many earlier claims. */
auto foldClaims(benchmark::State& state) -> void
{
    const auto claims = static_cast<std::uint64_t>(state.range(0));
    auto fold = ClaimsFold {};
    auto offset = std::uint64_t {};
    auto nonce = std::uint64_t { 1 };
    auto bytes = std::size_t {};
    constexpr auto issued = std::int64_t { 1'767'225'600'000 };
    for (auto step : state) {
        auto record = ClaimsRecord { { 1 }, { 1 }, issued, { offset }, {}, {}, {} };
        for (auto index = std::uint64_t {}; index < claims; ++index, ++nonce) {
            const auto high = (static_cast<std::uint64_t>(issued) << 16U) | 0x7000U;
            record.claims.push_back({ { { 1 }, { 2 }, high, nonce }, { nonce } });
            if (offset > 0)
                record.settles.push_back({ nonce - claims });
        }
        const auto body = encodeRecord(record);
        bytes = body.size();
        fold.apply({ "claims-0", { 0 }, { offset + 1 }, { { { offset }, body } } }, issued);
        ++offset;
    }
    state.counters["recordBytes"] = static_cast<double>(bytes);
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(foldClaims)->Arg(1)->Arg(10)->Arg(100)->Iterations(2000)->Unit(benchmark::kMicrosecond);

auto codeDemand(benchmark::State& state) -> void
{
    auto demand = Demand { { { 1 }, 0 }, false, 1, {}, {} };
    for (auto index = std::uint64_t {}; index < static_cast<std::uint64_t>(state.range(0)); ++index)
        demand.entries.push_back({ { index + 1 }, RequestClass::Interactive, 1, 100 });
    auto bytes = std::size_t {};
    for (auto step : state) {
        const auto encoded = encodeMessage(demand);
        bytes = encoded.size();
        benchmark::DoNotOptimize(decodeMessage(encoded).has_value());
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(codeDemand)->Arg(1)->Arg(10)->Arg(100);

/** One tick of membership with the given number of routers, all of which answer. */
auto tickMembership(benchmark::State& state) -> void
{
    auto settings = MembershipSettings {};
    settings.self = idOf<RouterId>("r0");
    settings.incarnation = { 1 };
    settings.name = "r0";
    const auto membership = Membership::create(settings);
    auto listed = VmsListed {};
    auto actions = Actions {};
    auto now = Time {};
    for (auto index = 0; index < state.range(0); ++index)
        listed.vms.push_back({ "r" + std::to_string(index), VmRole::Router, { "127.0.0.1", 1 }, "a", false });
    membership->handle(now, listed, actions);
    for (auto index = 1; index < state.range(0); ++index)
        membership->handle(
            now, PeerConnected { idOf<RouterId>("r" + std::to_string(index)), { 1 } }, actions);
    for (auto step : state) {
        actions.clear();
        now += Duration(20ms);
        membership->tick(now, actions);
        for (const auto& action : actions) {
            const auto* const send = std::get_if<SendPeer>(&action);
            const auto* const probe = send ? std::get_if<Probe>(&send->message) : nullptr;
            if (!probe)
                continue;
            auto answers = Actions {};
            membership->handle(
                now, send->router, ProbeAck { probe->sequence, send->router, {}, {}, {} }, answers);
        }
        benchmark::DoNotOptimize(membership->owner({ { 1 }, 0 }));
    }
}
BENCHMARK(tickMembership)->Arg(8)->Arg(340);

} // namespace
