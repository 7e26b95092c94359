#include "platform/restheader.h"
#include "platform/enginewire.h"

#include <catch2/catch.hpp>

using namespace camphorshunt::platform;
using namespace std::chrono_literals;

namespace {

/** Sun, 06 Nov 1994 08:49:37 GMT. */
constexpr auto wallNow = std::chrono::system_clock::time_point(784111777s);
constexpr auto nowText = "Sun, 06 Nov 1994 08:49:37 GMT";

auto parsed(std::string_view value, std::string_view date = {}) -> Rest
{
    return parseRest(value, date, wallNow);
}

auto answer(unsigned status, std::string_view name, std::string_view value) -> ResponseHeader
{
    auto header = ResponseHeader {};
    header.result(status);
    header.set({ name.data(), name.size() }, { value.data(), value.size() });
    return header;
}

} // namespace

TEST_CASE("A rest in whole seconds, a fraction or as a date is decoded")
{
    CHECK(parsed("2").length == 2s);
    CHECK(parsed(" 2 ").length == 2s);
    CHECK(parsed("0.25").length == 250ms);
    CHECK(parsed("0.0001").length == 1ms);
    CHECK(parsed("Sun, 06 Nov 1994 08:49:40 GMT").length == 3s);
    CHECK(parsed("Sun, 06 Nov 1994 08:49:40 GMT", "Sun, 06 Nov 1994 08:49:35 GMT").length == 5s);
    CHECK(parsed("Sun, 06 Nov 1994 08:49:40 GMT", "yesterday").length == 3s);
    for (const auto* const value : { "2", "0.25", "Sun, 06 Nov 1994 08:49:40 GMT" })
        CHECK(parsed(value).defect == RestDefect::None);
}

TEST_CASE("A rest that is absent, zero or over is none, without a defect")
{
    for (const auto* const value : { "", " ", "0", "0.0", nowText, "Sat, 05 Nov 1994 08:49:37 GMT" }) {
        CAPTURE(value);
        CHECK(!parsed(value).length);
        CHECK(parsed(value).defect == RestDefect::None);
    }
}

TEST_CASE("A malformed rest is none, and its defect is named")
{
    for (const auto* const value : { "soon", "inf", "nan", "1e9", "0x10", "2s", "1 2", "--1", "1.2.3", ".",
             "-", "+", "Sun, 31 Feb 1994 08:49:37 GMT", "Sun, 06 Nov 1994 25:49:37 GMT",
             "Sun, 06 Nov 1994 08:49:37 CET", "Sun, 06 Nov 99999999999 08:49:37 GMT" }) {
        CAPTURE(value);
        CHECK(!parsed(value).length);
        CHECK(parsed(value).defect == RestDefect::NoNumber);
    }
    for (const auto* const value : { "-1", "-0.5", "-99999999999999999999" }) {
        CAPTURE(value);
        CHECK(!parsed(value).length);
        CHECK(parsed(value).defect == RestDefect::Negative);
    }
}

TEST_CASE("No rest lasts without end")
{
    for (const auto& value : { std::string("3601"), std::string("99999999999999999999"),
             std::string(500, '9'), std::string("Fri, 31 Dec 9999 23:59:59 GMT") }) {
        CAPTURE(value);
        CHECK(parsed(value).length == maxRest);
        CHECK(parsed(value).defect == RestDefect::TooLong);
    }
    CHECK(parsed("3600").defect == RestDefect::None);
}

TEST_CASE("An engine's answer of any status says that it leaves, but only a 503 that it wants rest")
{
    for (const auto status : { 200U, 404U, 421U, 429U, 500U, 503U }) {
        CAPTURE(status);
        CHECK(readEngineAnswer(answer(status, "Server-Leaving", "1")).leaving);
        CHECK(!readEngineAnswer(answer(status, "Server-Leaving", "0")).leaving);
        CHECK(!readEngineAnswer(answer(status, "Server-Name", "1")).leaving);
        const auto rests = readEngineAnswer(answer(status, "Retry-After", "1.5")).rest;
        CHECK(rests.has_value() == (status == 503));
        CHECK(rests.value_or(1500ms) == 1500ms);
    }
    CHECK(readEngineAnswer(answer(503, "Retry-After", "soon")).restDefect == RestDefect::NoNumber);
    CHECK(readEngineAnswer(answer(200, "Retry-After", "soon")).restDefect == RestDefect::None);
}
