#pragma once

#include <cstdint>
#include <string>

#include "standin.h"

namespace camphorshunt::standins {

/** One generation in the engine and the caller that reads it, if any. */
struct EngineStream {
    enum class State { Waiting, Running, Ended };

    std::uint64_t number {};
    std::string attempt;
    std::string tag;
    std::uint64_t promptTokens {};
    std::uint64_t outputTokens {};
    Milliseconds promptTime { 0 };

    State state = State::Waiting;
    std::uint64_t produced = 0;
    std::chrono::steady_clock::time_point nextToken;

    Exchange reader;
    Fault fault;
    /** Events that this reader was sent. */
    std::uint64_t sentEvents = 0;
    /** Changes with each reader, so that an old one's leaving doesn't concern the new one. */
    std::uint64_t readerNumber = 0;

    auto eventText(std::uint64_t id) const -> std::string;
    auto doneText() const -> std::string;
    /** Sends one event, or does what the reader's fault asks for in its place. */
    auto send(const std::string& event) -> void;
    /** Ends the reader's answer, whole if the stream is. */
    auto endReader(bool complete) -> void;

private:
    auto applyFault() -> bool;
};

} // namespace camphorshunt::standins
