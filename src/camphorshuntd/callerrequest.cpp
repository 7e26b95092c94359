#include "callerrequest.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>

#include <boost/beast/core/string.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

#include "traceparent.h"

namespace camphorshunt {

namespace {

constexpr auto maxDeadlineMs = std::uint64_t { 24 } * 3600 * 1000;
constexpr auto maxIdempotencyKeyLength = std::size_t { 255 };
constexpr auto hexDigits = std::string_view("0123456789abcdef");

auto isNameCharacter(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '_' || character == '.';
}

auto isName(std::string_view text) -> bool
{
    return !text.empty() && std::ranges::all_of(text, isNameCharacter);
}

struct Path {
    std::string_view service;
    std::string_view operation;
};

auto parsePath(std::string_view target) -> std::optional<Path>
{
    constexpr auto prefix = std::string_view("/v1/");
    if (!target.starts_with(prefix))
        return std::nullopt;
    target.remove_prefix(prefix.size());
    const auto slash = target.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto path = Path { target.substr(0, slash), target.substr(slash + 1) };
    if (!isName(path.service) || !isName(path.operation))
        return std::nullopt;
    return path;
}

/** Returns 0 for a missing header, nullopt if the value is not an integer from `minimum` to `maximum`. */
auto parseCount(std::string_view text, std::uint64_t minimum, std::uint64_t maximum)
    -> std::optional<std::uint64_t>
{
    if (text.empty())
        return 0;
    auto count = std::uint64_t {};
    const auto* const textEnd = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), textEnd, count);
    if (code != std::errc {} || end != textEnd || count < minimum || count > maximum)
        return std::nullopt;
    return count;
}

auto isPrintable(std::string_view text) -> bool
{
    return std::ranges::all_of(text, [](char character) { return character > ' ' && character < 0x7f; });
}

/** SHA-256 of the bearer key in hex digits; empty if the header holds no bearer key. */
auto keyDigest(std::string_view authorization) -> std::string
{
    constexpr auto scheme = std::string_view("bearer ");
    if (authorization.size() <= scheme.size()
        || !boost::beast::iequals(authorization.substr(0, scheme.size()), scheme))
        return {};
    const auto key = authorization.substr(scheme.size());
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE> {};
    auto length = 0U;
    if (EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1)
        return {};
    auto text = std::string {};
    for (const auto byte : std::span(digest).first(length)) {
        text += hexDigits[byte >> 4U];
        text += hexDigits[byte & 0xfU];
    }
    return text;
}

} // namespace

auto readCallerRequest(RequestId id, net::HttpRequest& request) -> std::variant<CallerRequest, CallerRefusal>
{
    const auto path = parsePath(request.target);
    if (!path)
        return CallerRefusal { 404, "unknown-path" };
    if (request.method != "POST")
        return CallerRefusal { 405, "method-not-allowed" };

    constexpr auto maxTokens = std::numeric_limits<std::uint32_t>::max();
    const auto deadline = parseCount(request.header("Camphorshunt-Deadline-Ms"), 1, maxDeadlineMs);
    if (!deadline)
        return CallerRefusal { 400, "bad-deadline" };
    const auto promptTokens = parseCount(request.header("Camphorshunt-Prompt-Tokens"), 0, maxTokens);
    const auto outputTokens = parseCount(request.header("Camphorshunt-Output-Tokens"), 0, maxTokens);
    if (!promptTokens || !outputTokens)
        return CallerRefusal { 400, "bad-hint" };
    const auto idempotencyKey = request.header("Idempotency-Key");
    if (idempotencyKey.size() > maxIdempotencyKeyLength || !isPrintable(idempotencyKey))
        return CallerRefusal { 400, "bad-idempotency-key" };

    auto result = CallerRequest {};
    auto& arrived = result.arrived;
    arrived.request = id;
    arrived.service = path->service;
    arrived.operation = path->operation;
    arrived.keyDigest = keyDigest(request.header("Authorization"));
    arrived.idempotencyKey = idempotencyKey;
    arrived.deadline = std::chrono::milliseconds(*deadline);
    arrived.promptTokens = static_cast<std::uint32_t>(*promptTokens);
    arrived.outputTokens = static_cast<std::uint32_t>(*outputTokens);
    arrived.bodyBytes = static_cast<std::uint32_t>(request.body.size());

    auto& body = result.body;
    body.request = id;
    body.idempotencyKey = idempotencyKey;
    body.contentType = request.header("Content-Type");
    if (isTraceparent(request.header("traceparent")))
        body.traceparent = request.header("traceparent");
    body.body = std::make_shared<const std::string>(std::move(request.body));
    return result;
}

auto requestIdText(RequestId id) -> std::string
{
    auto text = std::string(16, '0');
    for (auto position = std::size_t {}; position < text.size(); ++position)
        text[position] = hexDigits[(id.value >> (60U - 4U * position)) & 0xfU];
    return text;
}

auto answerHeaders(RequestId id, std::string_view outcome, std::string_view contentType) -> net::HttpHeaders
{
    auto headers = net::HttpHeaders { { "Cache-Control", "no-store" },
        { "Camphorshunt-Request-Id", requestIdText(id) }, { "Camphorshunt-Outcome", std::string(outcome) } };
    if (!contentType.empty())
        headers.push_back({ "Content-Type", std::string(contentType) });
    return headers;
}

auto refusalBody(RequestId id, std::string_view outcome, std::string_view reason) -> std::string
{
    return boost::json::serialize(boost::json::object {
        { "outcome", outcome }, { "reason", reason }, { "requestId", requestIdText(id) } });
}

} // namespace camphorshunt
