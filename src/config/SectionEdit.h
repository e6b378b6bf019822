#pragma once

#include "base/Random.h"
#include "config/DocumentProblem.h"
#include "config/PlatformCallIdGenerator.h"
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

/// One operator's edit of the document.
struct EditRequest {
    /// Unique per edit; an operator who retries an edit reuses its id.
    std::string id;
    /// The section to replace; empty for the whole document.
    std::string section;
    /// JSON text of the section or of the whole document.
    std::string text;
    /// The version that the operator started from; if empty, the version that this edit reads first.
    std::optional<ConfigVersion> base;
};

/// The edit is stored in the document.
struct EditAccepted {
    /// The version that the edit created.
    ConfigVersion version;
    /// Version of the row as last seen, which contains this edit and possibly later ones.
    ConfigVersion rowVersion;
    /// Value of the row at rowVersion.
    std::string rowBytes;
    /// Warnings from checking the document.
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

/// The edit could not be completed: the platform failed, refused a call, or did not answer in time.
struct EditFailed {
    FailedOutcome outcome { FailedOutcome::NotRun };
    Error error;
};

using EditOutcome = std::variant<EditAccepted, EditConflict, EditInvalid, EditFailed>;

/// Limits of an edit.
struct EditLimits {
    /// Time limit of one call to the platform.
    Duration callTimeout { std::chrono::seconds(1) };
    /// Delay before the first retry; doubled for each further retry.
    Duration retryDelay { std::chrono::milliseconds(50) };
    /// Maximum delay before a retry.
    Duration retryDelayLimit { std::chrono::seconds(1) };
    /// Time limit of the whole edit.
    Duration timeout { std::chrono::seconds(10) };
    /// Maximum number of calls to the platform.
    unsigned maxCalls { 32 };
};

/// Applies one edit to the platform's row: reads the document, replaces the section, checks the result, and writes it
/// on condition that the row's version is unchanged (compare-and-swap). If the answer to a write is lost, the edit's id
/// is looked up in the row to find out whether the write took effect. Concurrent edits of other sections are preserved.
class SectionEdit {
public:
    SectionEdit(EditRequest, EditLimits, PlatformCallIdGenerator);
    ~SectionEdit();
    SectionEdit(SectionEdit&&) noexcept;
    SectionEdit& operator=(SectionEdit&&) noexcept;

    /// @return the first call; none if the text itself is invalid.
    std::vector<PlatformCall> start(Instant now);
    /// Handles the answer to the pending call; answers to other calls are ignored.
    std::vector<PlatformCall> onAnswer(Instant now, RandomEngine&, const PlatformAnswer&);
    /// Handles expired timers. Must be called at nextTimer().
    std::vector<PlatformCall> onTimer(Instant now);

    /// @return the time at which onTimer() is due; empty once the edit has an outcome.
    [[nodiscard]] std::optional<Instant> nextTimer() const;
    /// @return the outcome; empty while the edit is in progress.
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
    Calls onDocumentRead(Instant now, RandomEngine&, const StoredDocument&, const std::string& bytes);
    bool resolvePendingWrite(const StoredDocument&);
    Calls checkAndWrite(const StoredDocument&);
    void finish(EditOutcome);
    void abandon(Error);

    EditRequest m_request;
    EditLimits m_limits;
    PlatformCallIdGenerator m_ids;
    std::unique_ptr<DocumentText> m_text;
    Stage m_stage { Stage::Reading };
    Instant m_deadline;
    Instant m_retryAt;
    PlatformCallId m_pendingCall;
    unsigned m_calls { 0 };
    unsigned m_failures { 0 };
    /// Highest version of the row read so far.
    ConfigVersion m_highestRowVersion;
    /// Base version of a sent write that may have taken effect.
    std::optional<ConfigVersion> m_unresolvedBase;
    /// Number of writes sent with that base version.
    unsigned m_writesOnVersion { 0 };
    /// Row value of the pending write.
    std::string m_writtenBytes;
    std::vector<DocumentProblem> m_warnings;
    Error m_lastError;
    std::optional<EditOutcome> m_outcome;
};

} // namespace Auburnpost::Config
