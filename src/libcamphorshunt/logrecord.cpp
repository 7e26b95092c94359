#include "camphorshunt/logrecord.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "logfields.h"

namespace camphorshunt {

namespace {

namespace json = boost::json;

auto kindName(EditKind kind) -> std::string_view { return kind == EditKind::Whole ? "whole" : "patch"; }

auto decodeEdit(LogFields& fields) -> EditRecord
{
    auto record = EditRecord { .service = fields.text("service"),
        .editId = fields.text("editId"),
        .base = Offset { fields.number("base") },
        .author = fields.text("author"),
        .kind = {},
        .body = fields.text("body") };
    const auto kind = fields.text("kind");
    if (kind == kindName(EditKind::Patch))
        record.kind = EditKind::Patch;
    else if (kind != kindName(EditKind::Whole))
        fields.fail("kind", "must be whole or patch");
    return record;
}

auto decodeSnapshot(LogFields& fields) -> SnapshotRecord
{
    auto record = SnapshotRecord { .service = fields.text("service"),
        .version = Offset { fields.number("version") },
        .digest = fields.hex("digest"),
        .asOf = Offset { fields.number("asOf") },
        .edits = {},
        .complete = fields.flag("complete"),
        .services = {},
        .body = fields.text("body") };
    fields.forEach("edits", [&](LogFields& edit) {
        record.edits.push_back({ edit.text("editId"), Offset { edit.number("version") } });
    });
    fields.forEach("services", [&](LogFields& service) {
        record.services.push_back({ service.text("service"), Offset { service.number("version") } });
    });
    return record;
}

} // namespace

auto encodeRecord(const EditRecord& record) -> std::string
{
    return json::serialize(json::object { { "type", "edit" }, { "service", record.service },
        { "editId", record.editId }, { "base", record.base.value }, { "author", record.author },
        { "kind", kindName(record.kind) }, { "body", record.body } });
}

auto encodeRecord(const SnapshotRecord& record) -> std::string
{
    auto edits = json::array();
    for (const auto& edit : record.edits)
        edits.push_back({ { "editId", edit.editId }, { "version", edit.version.value } });
    auto services = json::array();
    for (const auto& service : record.services)
        services.push_back({ { "service", service.service }, { "version", service.version.value } });
    return json::serialize(json::object { { "type", "snapshot" }, { "service", record.service },
        { "version", record.version.value }, { "digest", hexText(record.digest) },
        { "asOf", record.asOf.value }, { "edits", std::move(edits) }, { "complete", record.complete },
        { "services", std::move(services) }, { "body", record.body } });
}

auto decodeDocumentRecord(std::string_view text) -> Result<DocumentRecord>
{
    auto error = json::error_code();
    const auto value = json::parse(text, error);
    if (error)
        return failure(Error::Code::Malformed, "record", error.message());
    auto fields = LogFields(value);
    const auto type = fields.text("type");
    auto record = DocumentRecord();
    if (type == "edit")
        record = decodeEdit(fields);
    else if (type == "snapshot")
        record = decodeSnapshot(fields);
    else
        fields.fail("type", "must be edit or snapshot");
    if (fields.error())
        return *fields.error();
    return record;
}

} // namespace camphorshunt
