#include <catch2/catch.hpp>

#include "platform/storeformat.h"
#include "platform/text.h"

using namespace camphorshunt;
using namespace camphorshunt::platform;

namespace {

auto bigEndian(std::uint64_t number, std::size_t bytes) -> std::string
{
    auto text = std::string {};
    for (auto shift = bytes; shift > 0; --shift)
        text += static_cast<char>(number >> ((shift - 1) * 8) & 0xFFU);
    return text;
}

/** A record with these bytes after its length. */
auto record(std::string_view content) -> std::string { return bigEndian(content.size(), 4).append(content); }

} // namespace

TEST_CASE("A record of the log that can't be read does not keep the records after it from being read")
{
    const auto odd = GENERATE(as<std::string> {}, "", "\xFFshorter than its key");
    const auto page = decodeRead(
        bigEndian(8, 8) + bigEndian(0, 8) + encodeKeyed("a", "1") + record(odd) + encodeKeyed("b", "2"), 5);
    REQUIRE(page);
    CHECK(page.value().unreadable == 1);
    // The next read starts behind as many records as were read.
    REQUIRE(page.value().records.size() == 3);
    CHECK(page.value().records.at(0).key == "a");
    CHECK_FALSE(page.value().records.at(1).value);
    CHECK(page.value().records.at(2).key == "b");
    CHECK(page.value().records.at(2).offset == 7);
}

TEST_CASE("A newest record that can't be read does not keep the others from being read")
{
    const auto odd
        = GENERATE(as<std::string> {}, "7", "null", "[]", R"({"key":"","value":"MQ==","offset":3})",
            R"({"key":"x","value":"","offset":3})", R"({"key":"x","value":"*","offset":3})",
            R"({"key":"x","offset":3})", R"({"key":3,"value":"MQ==","offset":3})",
            R"({"key":"x","value":"MQ==","offset":1e300})", R"({"key":"x","value":"MQ==","offset":-1})");
    const auto page
        = decodeNewest(R"({"end":9,"has_more":true,"items":[{"key":"a","value":"MQ==","offset":1},)" + odd
            + R"(,{"key":"b","value":"Mg==","offset":2}]})");
    CAPTURE(odd);
    REQUIRE(page);
    CHECK(page.value().unreadable == 1);
    CHECK(page.value().more);
    REQUIRE(page.value().records.size() == 2);
    CHECK(page.value().records.at(1).key == "b");
    CHECK(page.value().records.at(1).value == "2");
}

TEST_CASE("A key with characters of its own meaning in a query does not break the read of the next page")
{
    CHECK(queryEncoded("i-7f3a91c2") == "i-7f3a91c2");
    CHECK(queryEncoded("10.0.0.1:80") == "10.0.0.1:80");
    CHECK(queryEncoded("a b&c=d\r\n%\xC3") == "a%20b%26c%3Dd%0D%0A%25%C3");
}
