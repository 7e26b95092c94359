#include "eventstreamreader.h"

#include <charconv>
#include <limits>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "eventstream.h"

namespace camphorshunt {

namespace {

/** The answer is malformed if an event grows beyond this size: the engine is assumed to be faulty. */
constexpr auto maxEventBytes = std::size_t { 1024 } * 1024;

auto countOf(const boost::json::object& object, std::string_view name) -> std::uint32_t
{
    const auto* const value = object.if_contains(name);
    const auto* const count = value == nullptr ? nullptr : value->if_int64();
    if (count == nullptr || *count < 0 || *count > std::numeric_limits<std::uint32_t>::max())
        return 0;
    return static_cast<std::uint32_t>(*count);
}

} // namespace

EventStreamReader::EventStreamReader(std::uint32_t resumeAfter)
    : eventsPassed_(resumeAfter)
    , outputTokens_(resumeAfter)
{
}

auto EventStreamReader::consume(std::string_view bytes) -> std::string
{
    auto passedBytes = std::string {};
    if (complete_ || malformed_)
        return passedBytes;

    // The empty line that ends an event may have started in the bytes of an earlier call.
    auto searchFrom = pending_.size() < 3 ? std::size_t {} : pending_.size() - 3;
    pending_ += bytes;
    auto begin = std::size_t {};
    for (auto end = eventEnd(pending_, searchFrom); end != std::string::npos && !complete_;
         end = eventEnd(pending_, begin)) {
        const auto event = std::string_view(pending_).substr(begin, end - begin);
        if (!processEvent(event)) {
            malformed_ = true;
            break;
        }
        passedBytes += event;
        begin = end;
    }
    pending_.erase(0, begin);
    malformed_ = malformed_ || pending_.size() > maxEventBytes;
    return passedBytes;
}

auto EventStreamReader::processEvent(std::string_view event) -> bool
{
    const auto fields = eventFields(event);
    if (fields.name == "done") {
        processDoneEvent(fields.data);
        return true;
    }
    if (fields.id.empty())
        return true;

    auto number = std::uint32_t {};
    const auto* const idEnd = fields.id.data() + fields.id.size();
    const auto [end, code] = std::from_chars(fields.id.data(), idEnd, number);
    if (code != std::errc {} || end != idEnd || number != eventsPassed_ + 1)
        return false;
    eventsPassed_ = number;
    ++outputTokens_;
    return true;
}

auto EventStreamReader::processDoneEvent(std::string_view data) -> void
{
    complete_ = true;
    auto code = boost::system::error_code {};
    const auto value = boost::json::parse(data, code);
    const auto* const object = code ? nullptr : value.if_object();
    if (object == nullptr)
        return;
    promptTokens_ = countOf(*object, "promptTokens");
    outputTokens_ = countOf(*object, "outputTokens");
}

} // namespace camphorshunt
