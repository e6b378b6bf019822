#pragma once

#include "base/Random.h"
#include "config/DocumentProblem.h"
#include "config/PlatformCallIds.h"
#include "message/CallerAnswer.h"
#include "message/PlatformCall.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Auburnpost::Config {

class DocumentText;
class StoredDocument;

/// One operator's change.
struct EditRequest {
    /// Unique for each edit; an operator who repeats an edit repeats its id.
    std::string id;
    /// The section to replace; empty for the whole document.
    std::string section;
    /// JSON of the section, or of the whole document.
    std::string text;
    /// The version that the operator started from; empty for the one that this edit reads first.
    std::optional<ConfigVersion> base;
};

/// The edit is in the document.
struct EditAccepted {
    /// The version that the edit made.
    ConfigVersion version;
    /// The row as last seen, which holds this edit and perhaps later ones.
    ConfigVersion rowVersion;
    std::string rowBytes;
    /// Warnings of the checks.
    std::vector<DocumentProblem> warnings;
};

/// The section was changed after the version that the operator started from; nothing was written.
struct EditConflict {
    ConfigVersion base;
    /// Version at which the section was last changed.
    ConfigVersion sectionVersion;
};

/// The text has errors; nothing was written.
struct EditInvalid {
    std::vector<DocumentProblem> problems;
};

/// The platform did not let the edit come to an end.
struct EditFailed {
    FailedOutcome outcome { FailedOutcome::NotRun };
    Error error;
};

using EditOutcome = std::variant<EditAccepted, EditConflict, EditInvalid, EditFailed>;

/// Bounds of an edit.
struct EditLimits {
    /// Time limit of one call to the platform.
    Duration callTimeout { std::chrono::seconds(1) };
    /// Wait before the first retry; doubled for each further one.
    Duration retryDelay { std::chrono::milliseconds(50) };
    Duration retryDelayLimit { std::chrono::seconds(1) };
    /// Time limit of the whole edit.
    Duration timeout { std::chrono::seconds(10) };
    /// Calls to the platform.
    unsigned maxCalls { 32 };
};

/// Carries one edit into the platform's row: read, replace, check, write on condition that the version has not moved.
/// An answer that was lost is resolved by looking for the edit's id in the row. Edits of other sections are kept.
class SectionEdit {
public:
    SectionEdit(EditRequest, EditLimits, PlatformCallIds);
    ~SectionEdit();
    SectionEdit(SectionEdit&&) noexcept;
    SectionEdit& operator=(SectionEdit&&) noexcept;

    /// @return the first call; none when the text itself is refused.
    std::vector<PlatformCall> start(Instant now);
    /// Takes the answer to a call; answers to other calls are ignored.
    std::vector<PlatformCall> onAnswer(Instant now, RandomEngine&, const PlatformAnswer&);
    /// To be called at nextTimer().
    std::vector<PlatformCall> onTimer(Instant now);

    /// @return when onTimer() is due; nothing once there is an outcome.
    [[nodiscard]] std::optional<Instant> nextTimer() const;
    /// @return the outcome, once there is one.
    [[nodiscard]] const std::optional<EditOutcome>& outcome() const { return m_outcome; }

private:
    using Calls = std::vector<PlatformCall>;

    enum class Stage : std::uint8_t {
        Reading,
        Writing,
        Waiting,
    };

    Calls read();
    Calls write(const StoredDocument&);
    Calls send(PlatformCall);
    Calls retryLater(Instant now, RandomEngine&, Error);
    Calls onRead(Instant now, RandomEngine&, const PlatformAnswer&);
    Calls onWritten(Instant now, RandomEngine&, const PlatformAnswer&);
    Calls onStored(Instant now, RandomEngine&, const StoredDocument&, const std::string& bytes);
    bool resolveAttempts(const StoredDocument&);
    Calls tryOn(const StoredDocument&);
    void finish(EditOutcome);
    void giveUp(Error);

    EditRequest m_request;
    EditLimits m_limits;
    PlatformCallIds m_ids;
    std::unique_ptr<DocumentText> m_text;
    Stage m_stage { Stage::Reading };
    Instant m_deadline;
    Instant m_retryAt;
    PlatformCallId m_awaited;
    unsigned m_calls { 0 };
    unsigned m_failures { 0 };
    /// Highest version of the row seen.
    ConfigVersion m_highestSeen;
    /// The version on which a write was sent that may still have taken effect.
    std::optional<ConfigVersion> m_unresolved;
    /// Writes sent on that version.
    unsigned m_writesOnVersion { 0 };
    /// What the awaited write puts into the row.
    std::string m_writtenBytes;
    std::vector<DocumentProblem> m_warnings;
    Error m_lastError;
    std::optional<EditOutcome> m_outcome;
};

} // namespace Auburnpost::Config
