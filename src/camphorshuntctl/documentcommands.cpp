#include "documentcommands.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <absl/flags/flag.h>

#include "camphorshunt/document.h"
#include "camphorshunt/logrecord.h"

#include "adminclient.h"
#include "documentfold.h"
#include "documentmanager.h"
#include "linediff.h"
#include "logclient.h"

ABSL_FLAG(std::string, log, "127.0.0.1:7300", "end point of the platform's log, IP:PORT");
ABSL_FLAG(std::int64_t, base, -1, "version that the edit is based on; -1 for the version in force");
ABSL_FLAG(std::string, author, "operator", "author of the edit, as shown by the history command");
ABSL_FLAG(std::string, edit_id, "",
    "id of the edit, generated if empty; publishing again with the same id does not repeat the edit");
ABSL_FLAG(bool, patch, false, "the file is a JSON merge patch (RFC 7396), not a complete document");
ABSL_FLAG(std::string, service, "", "service that a patch applies to");
ABSL_FLAG(
    int, wait_s, 17, "maximum time to wait until the edit is in force on the daemons of --admin, in seconds");

namespace camphorshunt::ctl {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(50);

auto readFile(const std::string& path) -> Result<std::string>
{
    auto file = std::ifstream(path);
    if (!file)
        return failure(Error::Code::NotFound, path, "the file cannot be read");
    auto text = std::ostringstream {};
    text << file.rdbuf();
    return text.str();
}

auto readFold(const LogClient& log) -> Result<DocumentFold>
{
    const auto read = log.readAll(documentStream);
    if (!read)
        return read.error();
    auto fold = DocumentFold {};
    fold.apply(read.value());
    return fold;
}

/** The log at --log and the fold of the documents read from it. */
struct OpenedLog {
    LogClient log;
    DocumentFold fold;
};

auto openLog() -> Result<OpenedLog>
{
    auto log = LogClient::create(absl::GetFlag(FLAGS_log));
    if (!log)
        return log.error();
    auto fold = readFold(log.value());
    if (!fold)
        return fold.error();
    return OpenedLog { std::move(log).value(), std::move(fold).value() };
}

auto exitCodeOf(const Error& error) -> ExitCode
{
    return error.code == Error::Code::Invalid ? ExitCode::Invalid : ExitCode::Failed;
}

auto makeEditId() -> std::string
{
    auto device = std::random_device {};
    auto text = std::ostringstream {};
    text << std::hex << device() << device();
    return text.str();
}

auto outcomeOf(const DocumentFold& fold, std::string_view editId) -> const EditOutcome*
{
    const auto& outcomes = fold.outcomes();
    const auto found = std::ranges::find(outcomes, editId, &EditOutcome::editId);
    return found == outcomes.end() ? nullptr : &*found;
}

auto makeEdit(const std::string& path, const DocumentFold& fold) -> Result<EditRecord>
{
    auto text = readFile(path);
    if (!text)
        return text.error();
    auto edit = EditRecord {};
    edit.body = std::move(text).value();
    edit.author = absl::GetFlag(FLAGS_author);
    edit.editId = absl::GetFlag(FLAGS_edit_id).empty() ? makeEditId() : absl::GetFlag(FLAGS_edit_id);
    edit.kind = absl::GetFlag(FLAGS_patch) ? EditKind::Patch : EditKind::Whole;
    if (edit.kind == EditKind::Patch) {
        edit.service = absl::GetFlag(FLAGS_service);
        if (edit.service.empty())
            return failure(Error::Code::Invalid, "--service", "must name the service when --patch is given");
    } else {
        const auto document = Document::parse(edit.body);
        if (!document)
            return document.error();
        edit.service = document.value().service;
    }
    const auto* const current = fold.find(edit.service);
    const auto base = absl::GetFlag(FLAGS_base);
    edit.base.value = base >= 0 ? static_cast<std::uint64_t>(base) : (current ? current->version.value : 0);
    return edit;
}

auto countInForce(std::span<const Endpoint> daemons, std::string_view service, std::uint64_t version)
    -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(daemons,
        [&](const auto& daemon) { return versionInForce(fetchStatus(daemon), service) >= version; }));
}

auto awaitInForce(const EditOutcome& outcome) -> ExitCode
{
    const auto daemons = adminEndpoints();
    if (!daemons)
        return fail(ExitCode::Invalid, daemons.error().text());
    const auto total = daemons.value().size();
    if (total == 0)
        return ExitCode::Success;

    const auto start = std::chrono::steady_clock::now();
    const auto timeout = std::chrono::seconds(absl::GetFlag(FLAGS_wait_s));
    auto inForce = countInForce(daemons.value(), outcome.service, outcome.version.value);
    while (inForce < total && std::chrono::steady_clock::now() - start < timeout) {
        std::this_thread::sleep_for(pollInterval);
        inForce = countInForce(daemons.value(), outcome.service, outcome.version.value);
    }
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    std::cout << "in force on " << inForce << " of " << total << " daemons after " << elapsed.count()
              << " ms\n";
    if (inForce == total)
        return ExitCode::Success;
    return fail(ExitCode::Failed, "not in force everywhere yet; see camphorshuntctl status");
}

auto reportOutcome(const EditOutcome& outcome) -> ExitCode
{
    if (outcome.version.value == 0) {
        return fail(ExitCode::Conflict,
            "edit " + outcome.editId + " was refused: " + outcome.refusal
                + "; see camphorshuntctl show, then publish again on the version in force");
    }
    std::cout << "version " << outcome.version.value << " of " << outcome.service << " by edit "
              << outcome.editId << '\n';
    return awaitInForce(outcome);
}

auto appendEdit(const LogClient& log, const EditRecord& edit) -> ExitCode
{
    const auto appended = log.append(documentStream, encodeRecord(edit));
    if (!appended && appended.error().code != Error::Code::Io)
        return fail(ExitCode::Failed, appended.error().text());

    const auto after = readFold(log);
    if (!after)
        return fail(ExitCode::Failed, after.error().text() + "; publish again with --edit_id=" + edit.editId);
    const auto* const outcome = outcomeOf(after.value(), edit.editId);
    if (!outcome) {
        return fail(ExitCode::Failed,
            "the log did not answer, and the edit is not on it yet; publish again with --edit_id="
                + edit.editId);
    }
    return reportOutcome(*outcome);
}

} // namespace

auto runValidate(std::span<const std::string> arguments) -> ExitCode
{
    if (arguments.empty())
        return fail(ExitCode::Invalid, "expected at least one file: camphorshuntctl validate FILE...");
    auto code = ExitCode::Success;
    for (const auto& path : arguments) {
        const auto text = readFile(path);
        const auto document = text ? Document::parse(text.value()) : Result<Document>(text.error());
        if (!document) {
            code = fail(ExitCode::Invalid, path + ": " + document.error().text());
            continue;
        }
        std::cout << path << ": valid, service " << document.value().service << '\n';
    }
    return code;
}

auto runPublish(std::span<const std::string> arguments) -> ExitCode
{
    if (arguments.size() != 1)
        return fail(
            ExitCode::Invalid, "expected exactly one file: camphorshuntctl publish FILE --log=IP:PORT");
    const auto opened = openLog();
    if (!opened)
        return fail(exitCodeOf(opened.error()), opened.error().text());
    const auto& [log, fold] = opened.value();

    const auto edit = makeEdit(arguments.front(), fold);
    if (!edit)
        return fail(ExitCode::Invalid, arguments.front() + ": " + edit.error().text());
    if (const auto* const earlier = outcomeOf(fold, edit.value().editId))
        return reportOutcome(*earlier);

    const auto* const current = fold.find(edit.value().service);
    if (edit.value().kind == EditKind::Whole)
        std::cout << lineDiff(current ? current->body : std::string(), edit.value().body);
    return appendEdit(log, edit.value());
}

auto runShow(std::span<const std::string> arguments) -> ExitCode
{
    if (arguments.size() != 1)
        return fail(
            ExitCode::Invalid, "expected exactly one service: camphorshuntctl show SERVICE --log=IP:PORT");
    const auto opened = openLog();
    if (!opened)
        return fail(exitCodeOf(opened.error()), opened.error().text());
    const auto& [log, fold] = opened.value();
    const auto* const current = fold.find(arguments.front());
    if (!current)
        return fail(ExitCode::Failed, "the log has no document of service '" + arguments.front() + "'");
    std::cerr << "version " << current->version.value << '\n';
    std::cout << current->body << '\n';
    return ExitCode::Success;
}

auto runHistory(std::span<const std::string> arguments) -> ExitCode
{
    if (arguments.size() != 1)
        return fail(
            ExitCode::Invalid, "expected exactly one service: camphorshuntctl history SERVICE --log=IP:PORT");
    const auto opened = openLog();
    if (!opened)
        return fail(exitCodeOf(opened.error()), opened.error().text());
    const auto& [log, fold] = opened.value();
    for (const auto& outcome : fold.outcomes()) {
        if (outcome.service != arguments.front())
            continue;
        std::cout << "offset " << outcome.offset.value << " edit " << outcome.editId << " by "
                  << outcome.author
                  << (outcome.version.value != 0 ? ": version " + std::to_string(outcome.version.value)
                                                 : ": refused, " + outcome.refusal)
                  << '\n';
    }
    return ExitCode::Success;
}

} // namespace camphorshunt::ctl
