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
 * Version of a service's document: the offset of the record that created it, plus one. Zero means that
 * there is no document.
 */
using DocumentVersionNumber = Offset;

enum class EditKind : std::uint8_t {
    /** The body is the complete document. */
    Whole,
    /** The body is a JSON merge patch (RFC 7396) against the base version. */
    Patch,
};

/** An operator's edit; accepted only if its base is the version in force at the record's offset. */
struct EditRecord {
    std::string service;
    /** Identifies the edit, so that a record appended twice is recognised. */
    std::string editId;
    DocumentVersionNumber base;
    std::string author;
    EditKind kind {};
    /** JSON with comments. */
    std::string body;
};

/** An accepted edit and the version that it created. */
struct AcceptedEdit {
    std::string editId;
    DocumentVersionNumber version;
};

struct ServiceVersion {
    std::string service;
    DocumentVersionNumber version;
};

/** State of one service's document after all records before `asOf`. */
struct SnapshotRecord {
    std::string service;
    DocumentVersionNumber version;
    /** XXH64 of the body. */
    std::uint64_t digest {};
    Offset asOf;
    /** The most recent accepted edits, oldest first; a bounded number. */
    std::vector<AcceptedEdit> edits;
    /** True if `services` lists every service that had a document at `asOf`. */
    bool complete {};
    std::vector<ServiceVersion> services;
    std::string body;
};

using DocumentRecord = std::variant<EditRecord, SnapshotRecord>;

/** Encodes the body of a log record of the stream `documents`. */
auto encodeRecord(const EditRecord& record) -> std::string;
auto encodeRecord(const SnapshotRecord& record) -> std::string;

/** Decodes a record of the stream `documents`; the error names the field. */
auto decodeDocumentRecord(std::string_view text) -> Result<DocumentRecord>;

} // namespace camphorshunt
