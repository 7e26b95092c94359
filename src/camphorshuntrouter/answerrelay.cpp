#include "answerrelay.h"

#include <array>
#include <charconv>

#include "eventstream.h"
#include "httpresponsetext.h"

#include "platform/callerwire.h"
#include "platform/text.h"

namespace camphorshunt::router {

namespace {

/** A plain answer is buffered up to this size, in bytes, and passed on as it arrives from there on. */
constexpr auto maxBuffered = std::size_t { 256 } * 1024;
constexpr auto lastChunk = std::string_view("0\r\n\r\n");

auto lengthOf(const platform::ResponseHeader& header) -> std::optional<std::uint64_t>
{
    const auto text = platform::valueOf(header, "Content-Length");
    auto length = std::uint64_t { 0 };
    const auto result = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || result.ec != std::errc {})
        return std::nullopt;
    return length;
}

auto appendChunk(std::string& text, std::string_view body) -> void
{
    auto size = std::array<char, 16> {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), body.size(), 16).ptr;
    text.append(size.data(), end).append("\r\n").append(body).append("\r\n");
}

} // namespace

AnswerRelay::AnswerRelay(const platform::ResponseHeader& header, Mode mode, bool isHead, bool lastAnswer)
    : mode_(mode)
    , header_(header)
    , isHead_(isHead)
    , lastAnswer_(lastAnswer)
    , status_(header.result_int())
{
    if (!isHead && !net::statusHasBody(static_cast<std::uint16_t>(status_)))
        length_ = 0;
    else if (mode_ != Mode::ResumableStream)
        length_ = lengthOf(header);
}

auto AnswerRelay::framed(std::string_view body) -> std::string
{
    auto text = std::string {};
    if (!begun_) {
        begun_ = true;
        text = platform::writeRelayedHead(header_, { length_, lastAnswer_ });
    }
    if (length_)
        text += body;
    else if (!body.empty())
        appendChunk(text, body);
    return text;
}

auto AnswerRelay::completeEvents(std::string_view bytes) -> std::string
{
    pending_ += bytes;
    auto begin = std::size_t { 0 };
    for (auto end = eventEnd(pending_, 0); end != std::string::npos; end = eventEnd(pending_, begin)) {
        const auto block = std::string_view(pending_).substr(begin, end - begin);
        foreign_ = foreign_ || (resumed_ && !follows(block));
        if (foreign_)
            break;
        const auto fields = eventFields(block);
        if (!fields.id.empty())
            lastEventId_ = fields.id;
        begin = end;
    }
    auto events = pending_.substr(0, begin);
    pending_.erase(0, begin);
    return events;
}

auto AnswerRelay::follows(std::string_view block) const -> bool
{
    const auto fields = eventFields(block);
    if (fields.id.empty())
        return !fields.data.empty() || !fields.name.empty() || block.starts_with(':');
    const auto id = platform::parseNumber<std::uint64_t>(fields.id);
    const auto last = platform::parseNumber<std::uint64_t>(lastEventId_);
    return !id || !last || *id > *last;
}

auto AnswerRelay::resume() -> void
{
    resumed_ = true;
    foreign_ = false;
    pending_.clear();
    boundary_.discardPartial();
    eventsBefore_ = boundary_.events();
}

auto AnswerRelay::isComplete(AnswerEnd end) const -> bool
{
    if (end == AnswerEnd::Broken || foreign_)
        return false;
    if (!isStream() || isHead_)
        return true;
    return !boundary_.isInsideEvent() && (end == AnswerEnd::Framed || boundary_.events() > eventsBefore_);
}

auto AnswerRelay::streamFigures() const -> std::optional<StreamFigures>
{
    if (!isStream())
        return std::nullopt;
    return StreamFigures { boundary_.events(), boundary_.isInsideEvent() };
}

auto AnswerRelay::consume(std::string_view bytes) -> std::string
{
    if (isStream())
        boundary_.consume(bytes);
    received_ += bytes.size();
    if (isEndless())
        return {};
    // The caller takes an answer with all bytes of its length for a complete one.
    if (mode_ == Mode::Stream && length_ && received_ >= *length_ && boundary_.isInsideEvent())
        return {};
    if (mode_ == Mode::Stream || mode_ == Mode::Unbuffered)
        return framed(bytes);
    if (foreign_)
        return {};
    if (mode_ == Mode::ResumableStream) {
        const auto events = completeEvents(bytes);
        return events.empty() ? std::string {} : framed(events);
    }
    pending_ += bytes;
    if (pending_.size() < maxBuffered)
        return {};
    mode_ = Mode::Unbuffered;
    return framed(std::exchange(pending_, {}));
}

auto AnswerRelay::finish() -> std::string
{
    if (mode_ == Mode::Buffered && !isHead_)
        length_ = pending_.size();
    auto text = framed(std::exchange(pending_, {}));
    if (!length_ && !isHead_)
        text += lastChunk;
    return text;
}

} // namespace camphorshunt::router
