#include "documentschema.h"

namespace camphorshunt {

const char* const documentSchemaText = R"({
  "type": "object",
  "description": "a document of one service",
  "additionalProperties": false,
  "required": ["service", "upstreamKind", "organisations", "operations", "upstreams"],
  "properties": {
    "service": { "type": "string", "description": "a name" },
    "upstreamKind": { "type": "string", "description": "a registered upstream kind, such as model-engine" },
    "organisations": {
      "type": "array", "minItems": 1, "maxItems": 20000,
      "description": "a list of 1 to 20000 organisations",
      "items": {
        "type": "object",
        "description": "an organisation",
        "additionalProperties": false,
        "required": ["name", "keyDigests"],
        "properties": {
          "name": { "type": "string", "description": "a name" },
          "weight": {
            "type": "number", "minimum": 0, "exclusiveMinimum": true, "maximum": 1000000,
            "description": "a number above 0 and at most 1000000"
          },
          "keyDigests": {
            "type": "array", "minItems": 1, "maxItems": 16,
            "description": "a list of 1 to 16 SHA-256 digests",
            "items": { "type": "string", "description": "64 lower-case hex digits" }
          }
        }
      }
    },
    "operations": {
      "type": "array", "minItems": 1, "maxItems": 1000,
      "description": "a list of 1 to 1000 operations",
      "items": {
        "type": "object",
        "description": "an operation",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": { "type": "string", "description": "a name" },
          "repeatable": { "type": "boolean", "description": "true or false" },
          "class": {
            "enum": ["interactive", "deferrable"],
            "description": "\"interactive\" or \"deferrable\""
          }
        }
      }
    },
    "upstreams": {
      "type": "array", "maxItems": 5000,
      "description": "a list of at most 5000 upstreams",
      "items": {
        "type": "object",
        "description": "an upstream",
        "additionalProperties": false,
        "required": ["name", "address", "failureDomain", "slots"],
        "properties": {
          "name": { "type": "string", "description": "a name" },
          "address": { "type": "string", "description": "an IP number and a port, such as 10.0.0.1:8080" },
          "failureDomain": { "type": "string", "description": "a name" },
          "slots": {
            "type": "integer", "minimum": 1, "maximum": 65536,
            "description": "a whole number from 1 to 65536"
          },
          "leaving": { "type": "boolean", "description": "true or false" },
          "checksFencing": { "type": "boolean", "description": "true or false" }
        }
      }
    },
    "limits": {
      "type": "object",
      "description": "the limits",
      "additionalProperties": false,
      "properties": {
        "queuePerOrganisation": {
          "type": "integer", "minimum": 1, "maximum": 1000000,
          "description": "a whole number from 1 to 1000000"
        },
        "queueTotal": {
          "type": "integer", "minimum": 1, "maximum": 1000000,
          "description": "a whole number from 1 to 1000000"
        },
        "defaultDeadlineMs": {
          "type": "integer", "minimum": 1, "maximum": 86400000,
          "description": "a whole number of milliseconds from 1 to 86400000"
        },
        "longestDeadlineMs": {
          "type": "integer", "minimum": 1, "maximum": 86400000,
          "description": "a whole number of milliseconds from 1 to 86400000"
        },
        "connectTimeoutMs": {
          "type": "integer", "minimum": 1, "maximum": 600000,
          "description": "a whole number of milliseconds from 1 to 600000"
        },
        "firstByteTimeoutMs": {
          "type": "integer", "minimum": 1, "maximum": 600000,
          "description": "a whole number of milliseconds from 1 to 600000"
        },
        "gapTimeoutMs": {
          "type": "integer", "minimum": 1, "maximum": 600000,
          "description": "a whole number of milliseconds from 1 to 600000"
        },
        "retryFraction": {
          "type": "number", "minimum": 0, "maximum": 1, "description": "a number from 0 to 1"
        },
        "keyWindowS": {
          "type": "integer", "minimum": 1, "maximum": 604800,
          "description": "a whole number of seconds from 1 to 604800"
        }
      }
    },
    "dispatch": {
      "type": "object",
      "description": "the dispatch settings",
      "additionalProperties": false,
      "properties": {
        "policy": { "type": "string", "description": "a registered dispatch policy, such as fair" },
        "shards": {
          "type": "integer", "minimum": 1, "maximum": 1024,
          "description": "a whole number from 1 to 1024"
        },
        "promptWeight": {
          "type": "number", "minimum": 0, "maximum": 1000000,
          "description": "a number from 0 to 1000000"
        },
        "outputWeight": {
          "type": "number", "minimum": 0, "maximum": 1000000,
          "description": "a number from 0 to 1000000"
        },
        "quantum": {
          "type": "number", "minimum": 1, "maximum": 1000000000,
          "description": "a number from 1 to 1000000000"
        },
        "reservedSlots": {
          "type": "integer", "minimum": 0, "maximum": 65536,
          "description": "a whole number from 0 to 65536"
        },
        "ejectFraction": {
          "type": "number", "minimum": 0, "maximum": 1, "description": "a number from 0 to 1"
        }
      }
    }
  }
})";

} // namespace camphorshunt
