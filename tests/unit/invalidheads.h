#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace camphorshunt::test {

/** Bytes that are no answer to a request, though they begin like one. */
struct InvalidAnswer {
    std::string name;
    std::string text;
    /** The bytes end with their connection. */
    bool ends = false;
};

/** Text that is put together from parts. */
inline auto concatenated(std::initializer_list<std::string_view> parts) -> std::string
{
    auto text = std::string {};
    for (const auto part : parts)
        text += part;
    return text;
}

/** A proper answer with these header lines. */
inline auto properAnswer(std::string_view fields) -> std::string
{
    return concatenated({ "HTTP/1.1 200 OK\r\n", fields, "Content-Length: 4\r\n\r\ngood" });
}

/** Every framing of messages with a status or a version that HTTP/1 does not have or that was not asked for.
 */
inline auto answersOfInvalidStatusLine(std::string_view fields) -> std::vector<InvalidAnswer>
{
    const auto largeBody = std::string(400000, 'w');
    const auto follower = properAnswer(fields);
    const auto followerSize = std::to_string(follower.size());
    auto answers = std::vector<InvalidAnswer> {};
    for (const auto* const line : { "HTTP/1.1 000", "HTTP/1.1 001", "HTTP/1.1 099", "HTTP/1.1 101",
             "HTTP/1.1 600", "HTTP/1.1 999", "HTTP/0.9 200", "HTTP/2.0 200" }) {
        const auto name = std::string(line);
        const auto head = concatenated({ name, " Unknown\r\n", fields });
        answers.push_back({ name + " to the end", concatenated({ head, "\r\nwrong" }), true });
        answers.push_back({ name + " without a body, to the end", concatenated({ head, "\r\n" }), true });
        answers.push_back(
            { name + " with a length", concatenated({ head, "Content-Length: 5\r\n\r\nwrong" }) });
        answers.push_back({ name + " with a large body",
            concatenated({ head, "Content-Length: 400000\r\n\r\n", largeBody }) });
        answers.push_back({ name + " in chunks",
            concatenated({ head, "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n" }) });
        answers.push_back(
            { name + " before an answer", concatenated({ head, "Content-Length: 0\r\n\r\n", follower }) });
        answers.push_back({ name + " around an answer",
            concatenated({ head, "Content-Length: ", followerSize, "\r\n\r\n", follower }) });
        answers.push_back(
            { name + " around an answer, to the end", concatenated({ head, "\r\n", follower }), true });
    }
    return answers;
}

/** Heads with a line that is no field, and heads that state two extents of the body or none that is valid. */
inline auto answersOfInvalidFields(std::string_view fields) -> std::vector<InvalidAnswer>
{
    using namespace std::string_literals;
    constexpr auto statusLine = std::string_view("HTTP/1.1 200 OK\r\n");
    constexpr auto length = std::string_view("Content-Length: 4\r\n");
    constexpr auto body = std::string_view("\r\ngood");
    auto answers = std::vector<InvalidAnswer> {};
    for (const auto& line :
        { "X Bad: 1"s, "X\tBad: 1"s, "X\x01"s + "Bad: 1", "X\0Bad: 1"s, "X\x7f"s + "Bad: 1",
            "X\xe9"s + "Bad: 1", "X-Bad : 1"s, "X-Bad\t: 1"s, ": 1"s, "no colon"s, "X-Bad: a\x01"s + "b",
            "X-Bad: a\0b"s, "X-Bad: a\rb"s, "X-Bad: a\nb"s, "Content-Length: 5"s, "Content-Length: +4"s,
            "Content-Length: -4"s, "Content-Length: 4 4"s, "Transfer-Encoding: chunked"s }) {
        const auto added = line + "\r\n";
        answers.push_back(
            { line + ", with a length", concatenated({ statusLine, fields, added, length, body }) });
        answers.push_back(
            { line + ", behind a length", concatenated({ statusLine, fields, length, added, body }) });
        answers.push_back({ line + ", in front", concatenated({ statusLine, added, fields, length, body }) });
    }
    return answers;
}

/** Transfer codings other than `chunked`, which is the only one that a request here accepts. */
inline auto answersOfUnknownCoding(std::string_view fields) -> std::vector<InvalidAnswer>
{
    constexpr auto chunks = std::string_view("\r\n4\r\ngood\r\n0\r\n\r\n");
    auto answers = std::vector<InvalidAnswer> {};
    for (const auto* const coding :
        { "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked" }) {
        const auto name = std::string(coding);
        const auto head
            = concatenated({ "HTTP/1.1 200 OK\r\n", fields, "Transfer-Encoding: ", name, "\r\n" });
        answers.push_back({ name + " to the end", concatenated({ head, chunks }), true });
        answers.push_back({ name + " in chunks", concatenated({ head, chunks }) });
        answers.push_back(
            { name + " with a length", concatenated({ head, "Content-Length: 4\r\n\r\ngood" }) });
        answers.push_back(
            { name + " in two fields", concatenated({ head, "Transfer-Encoding: chunked\r\n", chunks }) });
    }
    return answers;
}

} // namespace camphorshunt::test
