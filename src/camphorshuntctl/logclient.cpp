#include "logclient.h"

#include <boost/json.hpp>

#include "blockingcall.h"

namespace camphorshunt::ctl {

namespace {

namespace json = boost::json;

constexpr auto answerTimeout = std::chrono::milliseconds(10000);
constexpr auto recordsPerRead = 1000;

auto makeSpec(const Endpoint& endpoint, net::HttpRequest request) -> net::HttpCallSpec
{
    auto spec = net::HttpCallSpec {};
    spec.endpoint = endpoint;
    spec.request = std::move(request);
    spec.firstByteTimeout = answerTimeout;
    return spec;
}

auto parseLogRead(std::string_view stream, std::string_view body) -> Result<LogRead>
{
    auto code = boost::system::error_code {};
    const auto parsed = json::parse(body, code);
    const auto* const object = parsed.if_object();
    if (code || !object || !object->contains("first") || !object->contains("end")
        || !object->contains("records"))
        return failure(Error::Code::Malformed, "log",
            "the answer is malformed; expected JSON with first, end and records");

    auto read = LogRead { std::string(stream), { parsed.at("first").to_number<std::uint64_t>() },
        { parsed.at("end").to_number<std::uint64_t>() }, {} };
    for (const auto& record : parsed.at("records").as_array())
        read.records.push_back({ { record.at("offset").to_number<std::uint64_t>() },
            std::string(record.at("body").as_string()) });
    return read;
}

} // namespace

LogClient::LogClient(Endpoint endpoint)
    : endpoint_(std::move(endpoint))
{
}

auto LogClient::create(std::string_view endpoint) -> Result<LogClient>
{
    auto parsed = Endpoint::parse(endpoint, "--log");
    if (!parsed)
        return parsed.error();
    return LogClient(std::move(parsed).value());
}

auto LogClient::readFrom(std::string_view stream, Offset from) const -> Result<LogRead>
{
    const auto target = "/streams/" + std::string(stream) + "?from=" + std::to_string(from.value)
        + "&max=" + std::to_string(recordsPerRead) + "&waitMs=0";
    const auto answer = net::callBlocking(makeSpec(endpoint_, { "GET", target, {}, {} }));
    if (!answer.isSuccess())
        return failure(
            Error::Code::Unavailable, "log", endpoint_.text() + " does not answer; try again later");
    return parseLogRead(stream, answer.body);
}

auto LogClient::readAll(std::string_view stream) const -> Result<LogRead>
{
    auto result = readFrom(stream, Offset { 0 });
    if (!result)
        return result;

    auto& read = result.value();
    while (!read.records.empty() && read.records.back().offset.value + 1 < read.end.value) {
        auto more = readFrom(stream, Offset { read.records.back().offset.value + 1 });
        if (!more)
            return more;
        if (more.value().records.empty())
            break;
        read.end = more.value().end;
        for (auto& record : more.value().records)
            read.records.push_back(std::move(record));
    }
    return result;
}

auto LogClient::append(std::string_view stream, std::string record) const -> Result<Offset>
{
    const auto answer = net::callBlocking(
        makeSpec(endpoint_, { "POST", "/streams/" + std::string(stream), {}, std::move(record) }));
    const auto notStored
        = answer.end == net::HttpCallEnd::NotSent || (answer.isComplete() && !answer.isSuccess());
    if (notStored)
        return failure(Error::Code::Unavailable, "log", "the record was not stored; try again later");
    auto code = boost::system::error_code {};
    const auto parsed = answer.isComplete() ? json::parse(answer.body, code) : json::value {};
    if (!parsed.is_object() || !parsed.as_object().contains("offset"))
        return failure(
            Error::Code::Io, "log", "no valid answer was received; the record may have been stored");
    return Offset { parsed.at("offset").to_number<std::uint64_t>() };
}

} // namespace camphorshunt::ctl
