#pragma once

#include <cstdint>
#include <string>

#include "standin.h"

namespace camphorshunt::standins {

/** One generation in the engine, and the caller that currently reads it, if any. */
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
    /** Events sent to the current reader. */
    std::uint64_t sentEvents = 0;
    /** Incremented for each reader, so that a disconnection of an earlier reader is ignored. */
    std::uint64_t readerNumber = 0;

    auto eventText(std::uint64_t id) const -> std::string;
    auto doneText() const -> std::string;
    /** Sends one event to the reader, or applies the reader's fault instead. */
    auto send(const std::string& event) -> void;
    /** Finishes the reader's answer if `complete`; otherwise closes its connection. */
    auto endReader(bool complete) -> void;

private:
    /** Returns whether the fault took effect, so that the reader must be sent nothing more. */
    auto applyFault() -> bool;
};

} // namespace camphorshunt::standins
