#include "callers.h"

#include <array>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace camphorshunt;

namespace {

using Tcp = boost::asio::ip::tcp;

constexpr auto ringCapacity = std::size_t { 64 };
constexpr auto ringReserve = std::size_t { 16 };

/** `Callers` with its rings, all on one thread, so that a test controls the order of wake-ups. */
struct CallersFixture {
    CallersFixture()
    {
        toScheduler.onItem([this](const Event& event) {
            if (const auto* const arrived = std::get_if<RequestArrived>(&event))
                request = arrived->request;
        });
        toUpstreams.onItem([](const CallersToUpstreams&) {});
        toTelemetry.onItem([](const CallersToTelemetry&) {});
        auto made = Callers::listen(context, { { "127.0.0.1", 0 }, {}, RequestId { 5 } },
            { toScheduler, toUpstreams, fromScheduler, fromUpstreams, toTelemetry });
        callers = std::move(made.value());
        const auto endpoint = callers->endpoint();
        client.connect({ boost::asio::ip::make_address(endpoint.address), endpoint.port });
    }

    auto run() -> void
    {
        for (auto turn = 0; turn < 50; ++turn) {
            context.restart();
            context.run_for(1ms);
        }
    }

    auto received() -> std::string
    {
        auto text = std::string {};
        auto error = boost::system::error_code {};
        client.non_blocking(true);
        while (!error) {
            auto bytes = std::array<char, 4096> {};
            const auto size = client.read_some(boost::asio::buffer(bytes), error);
            text.append(bytes.data(), size);
        }
        return text;
    }

    boost::asio::io_context context { 1 };
    Ring<Event> toScheduler { context, context, ringCapacity, ringReserve };
    Ring<CallersToUpstreams> toUpstreams { context, context, ringCapacity, ringReserve };
    Ring<SchedulerToCallers> fromScheduler { context, context, ringCapacity, ringReserve };
    Ring<UpstreamsToCallers> fromUpstreams { context, context, ringCapacity, ringReserve };
    Ring<CallersToTelemetry> toTelemetry { context, context, ringCapacity, ringReserve };
    std::unique_ptr<Callers> callers;
    Tcp::socket client { context };
    RequestId request;
};

} // namespace

TEST_CASE("The last bytes of an answer are written before its end, even if the end arrives first")
{
    auto fixture = CallersFixture {};
    const auto text = std::string("POST /v1/chat/complete HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    boost::asio::write(fixture.client, boost::asio::buffer(text));
    fixture.run();
    REQUIRE(fixture.request != RequestId {});

    // The scheduler's ring is woken first; while it is drained, an answer arrives and then its end.
    fixture.fromScheduler.push(FinishCaller { RequestId { 1 }, RequestOutcome::Done, {} });
    fixture.fromUpstreams.push(AnswerHead { fixture.request, 200, "text/event-stream" });
    fixture.fromUpstreams.push(AnswerChunk { fixture.request, "event: done\n\n" });
    fixture.fromScheduler.push(FinishCaller { fixture.request, RequestOutcome::Done, {} });
    fixture.run();

    const auto answer = fixture.received();
    CHECK(answer.find("200") != std::string::npos);
    CHECK(answer.find("event: done") != std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
}
