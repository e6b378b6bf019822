#pragma once

#include <string>

/// @return a document with one database that is accepted without a warning. Tests depend on its line numbers.
inline std::string goodDocument()
{
    return R"({
  "sections": {
    "placement": {
      "databases": {
        "sizing-core-1": {
          "targets": [
            { "name": "sizing-core-1-a", "address": "127.0.0.1:5001", "data_centre": "west-colombo" },
            { "name": "sizing-core-1-b", "address": "127.0.0.1:5002", "data_centre": "central-kandy" },
            { "name": "sizing-core-1-c", "address": "127.0.0.1:5003", "data_centre": "south-galle" }
          ],
          "connection_cap": 50,
          "slots": 3
        }
      }
    },
    "organisations": {
      "ranwala": {
        "databases": ["sizing-core-1"],
        "keys": ["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"],
        "weight": 2
      }
    },
    "staleness": {
      "default_ms": 100,
      "organisations": {
        "ranwala": {
          "default_ms": 1000,
          "databases": {
            "sizing-core-1": { "default_ms": 0, "purposes": { "browse": 60000 } }
          }
        }
      }
    },
    "maintenance": {
      "leaving_targets": ["sizing-core-1-c"],
      "switches": [{ "database": "sizing-core-1", "to": "sizing-core-1-b" }]
    }
  }
}
)";
}

/// @return @p text with the first occurrence of @p from replaced by @p to.
inline std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}
