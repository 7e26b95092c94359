#pragma once

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

/** A proper answer with these header lines. */
inline auto properAnswer(std::string_view fields) -> std::string
{
    return "HTTP/1.1 200 OK\r\n" + std::string(fields) + "Content-Length: 4\r\n\r\ngood";
}

/** Every framing of messages with a status or a version that HTTP/1 does not have or that was not asked for.
 */
inline auto answersOfInvalidStatusLine(std::string_view fields) -> std::vector<InvalidAnswer>
{
    constexpr auto largeBody = std::size_t { 400000 };
    auto answers = std::vector<InvalidAnswer> {};
    for (const auto* const line : { "HTTP/1.1 000", "HTTP/1.1 001", "HTTP/1.1 099", "HTTP/1.1 101",
             "HTTP/1.1 600", "HTTP/1.1 999", "HTTP/0.9 200", "HTTP/2.0 200" }) {
        const auto name = std::string(line);
        const auto head = name + " Unknown\r\n" + std::string(fields);
        const auto follower = properAnswer(fields);
        const auto followerSize = std::to_string(follower.size());
        answers.push_back({ name + " to the end", head + "\r\nwrong", true });
        answers.push_back({ name + " without a body, to the end", head + "\r\n", true });
        answers.push_back({ name + " with a length", head + "Content-Length: 5\r\n\r\nwrong" });
        answers.push_back({ name + " with a large body",
            head + "Content-Length: " + std::to_string(largeBody) + "\r\n\r\n"
                + std::string(largeBody, 'w') });
        answers.push_back(
            { name + " in chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n" });
        answers.push_back({ name + " before an answer", head + "Content-Length: 0\r\n\r\n" + follower });
        answers.push_back(
            { name + " around an answer", head + "Content-Length: " + followerSize + "\r\n\r\n" + follower });
        answers.push_back({ name + " around an answer, to the end", head + "\r\n" + follower, true });
    }
    return answers;
}

/** Heads with a line that is no field, and heads that state two extents of the body or none that is valid. */
inline auto answersOfInvalidFields(std::string_view fields) -> std::vector<InvalidAnswer>
{
    using namespace std::string_literals;
    auto answers = std::vector<InvalidAnswer> {};
    for (const auto& line :
        { "X Bad: 1"s, "X\tBad: 1"s, "X\x01"s + "Bad: 1", "X\0Bad: 1"s, "X\x7f"s + "Bad: 1",
            "X\xe9"s + "Bad: 1", "X-Bad : 1"s, "X-Bad\t: 1"s, ": 1"s, "no colon"s, "X-Bad: a\x01"s + "b",
            "X-Bad: a\0b"s, "X-Bad: a\rb"s, "X-Bad: a\nb"s, "Content-Length: 5"s, "Content-Length: +4"s,
            "Content-Length: -4"s, "Content-Length: 4 4"s, "Transfer-Encoding: chunked"s }) {
        const auto head = "HTTP/1.1 200 OK\r\n" + std::string(fields);
        answers.push_back({ line + ", with a length", head + line + "\r\nContent-Length: 4\r\n\r\ngood" });
        answers.push_back(
            { line + ", behind a length", head + "Content-Length: 4\r\n" + line + "\r\n\r\ngood" });
        answers.push_back({ line + ", in front",
            "HTTP/1.1 200 OK\r\n" + line + "\r\n" + std::string(fields) + "Content-Length: 4\r\n\r\ngood" });
    }
    return answers;
}

/** Transfer codings other than `chunked`, which is the only one that a request here accepts. */
inline auto answersOfUnknownCoding(std::string_view fields) -> std::vector<InvalidAnswer>
{
    auto answers = std::vector<InvalidAnswer> {};
    for (const auto* const coding :
        { "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked" }) {
        const auto name = std::string(coding);
        const auto head = "HTTP/1.1 200 OK\r\n" + std::string(fields) + "Transfer-Encoding: " + name + "\r\n";
        answers.push_back({ name + " to the end", head + "\r\n4\r\ngood\r\n0\r\n\r\n", true });
        answers.push_back({ name + " in chunks", head + "\r\n4\r\ngood\r\n0\r\n\r\n" });
        answers.push_back({ name + " with a length", head + "Content-Length: 4\r\n\r\ngood" });
        answers.push_back(
            { name + " in two fields", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n" });
    }
    return answers;
}

} // namespace camphorshunt::test
