#pragma once

#include "base/Ids.h"
#include "message/CallerAnswer.h"

#include <optional>
#include <string>
#include <variant>

namespace Auburnpost::Wire {

enum class OperatorAction : std::uint8_t {
    Ready,
    State,
    Metrics,
    GetConfig,
    PutConfig,
};

/// A well-formed request from an operator.
struct OperatorRequest {
    RequestId id;
    OperatorAction action { OperatorAction::Ready };
    /// GetConfig, PutConfig: the section; empty for the whole document.
    std::string section;
    /// PutConfig: the new text of the section or document.
    std::string body;
    /// PutConfig: the version that the edit started from.
    std::optional<ConfigVersion> expectedVersion;
    /// The bearer key in plain text; empty if the request has none.
    std::string key;
};

/// Text of one media type, such as "application/json".
struct OperatorText {
    std::string mediaType;
    std::string text;
};

/// The host is not ready; answered with 503.
struct NotReady {
    std::string reason;
};

/// The answer to an OperatorRequest.
struct OperatorReply {
    RequestId id;
    std::variant<OperatorText, NotReady, Refusal> body;
    /// Version of the document that the answer refers to.
    std::optional<ConfigVersion> version;
};

} // namespace Auburnpost::Wire
