#include "recorder.h"

#include "tracejson.h"

namespace camphorshunt {

auto Recorder::create(const std::string& file, std::uint64_t limitBytes, const CoreSettings& settings)
    -> Result<std::unique_ptr<Recorder>>
{
    auto stream = std::ofstream(file, std::ios::binary | std::ios::trunc);
    if (!stream)
        return failure(Error::Code::Io, "record", "file '" + file + "' cannot be written");
    auto recorder = std::unique_ptr<Recorder>(new Recorder(std::move(stream), limitBytes));
    recorder->writeLine(traceHeader(settings));
    return recorder;
}

Recorder::Recorder(std::ofstream stream, std::uint64_t limitBytes)
    : stream_(std::move(stream))
    , bytesLeft_(limitBytes)
{
}

auto Recorder::write(Time now, const Event& event, const Actions& actions) -> void
{
    if (bytesLeft_ != 0)
        writeLine(traceLine(now, event, actions));
}

/** Stops recording at the first line that exceeds the limit, so that the record has no gaps. */
auto Recorder::writeLine(const std::string& line) -> void
{
    if (line.size() + 1 > bytesLeft_) {
        bytesLeft_ = 0;
        stream_.flush();
        return;
    }
    bytesLeft_ -= line.size() + 1;
    stream_ << line << '\n';
}

} // namespace camphorshunt
