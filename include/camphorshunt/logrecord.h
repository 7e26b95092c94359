#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "camphorshunt/ids.h"
#include "camphorshunt/result.h"

namespace camphorshunt {

/**
 * Version of a service's document: the offset of the record that brought it, plus one. Zero stands
 * for no document.
 */
using DocumentVersionNumber = Offset;

enum class EditKind : std::uint8_t {
    /** The body is the whole document. */
    Whole,
    /** The body is a JSON merge patch (RFC 7396) on the version the edit is based on. */
    Patch,
};

/** An operator's edit; it counts only if its base is the version in force at its own offset. */
struct EditRecord {
    std::string service;
    /** Recognises the edit when it lands twice. */
    std::string editId;
    DocumentVersionNumber base;
    std::string author;
    EditKind kind {};
    /** JSON with comments. */
    std::string body;
};

/** An edit that made a version. */
struct AcceptedEdit {
    std::string editId;
    DocumentVersionNumber version;
};

struct ServiceVersion {
    std::string service;
    DocumentVersionNumber version;
};

/** The state of one service's document after all records before `asOf`. */
struct SnapshotRecord {
    std::string service;
    DocumentVersionNumber version;
    /** XXH64 of the body. */
    std::uint64_t digest {};
    Offset asOf;
    /** The latest accepted edits, oldest first, bounded. */
    std::vector<AcceptedEdit> edits;
    /** True when `services` names every service that had a document at `asOf`. */
    bool complete {};
    std::vector<ServiceVersion> services;
    std::string body;
};

using DocumentRecord = std::variant<EditRecord, SnapshotRecord>;

/** The body of a log record on the stream `documents`. */
auto encodeRecord(const EditRecord& record) -> std::string;
auto encodeRecord(const SnapshotRecord& record) -> std::string;

/** Reads a record of the stream `documents`; the error names the field. */
auto decodeDocumentRecord(std::string_view text) -> Result<DocumentRecord>;

} // namespace camphorshunt
