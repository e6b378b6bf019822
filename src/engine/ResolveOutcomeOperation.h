#pragma once

#include "engine/PrimaryOperation.h"

namespace Auburnpost {

/// Resolves the outcome of a write from its outcome record. Cancel inserts the record first, so that a write that has
/// not been executed never will be; Lookup only reads it.
class ResolveOutcomeOperation : public PrimaryOperation {
public:
    using PrimaryOperation::PrimaryOperation;

    void onAnswer(Instant now, const TargetAnswer&) override;
    void onConnectionLost(Instant now, const Error&) override;
    void onPrimaryReplaced(Instant now) override;

protected:
    void sendFirstStatements(Instant now) override;
    /// The operation can be repeated without harm, so its own outcome does not matter.
    [[nodiscard]] bool mayHaveRun() const override { return false; }

private:
    enum class Phase : std::uint8_t {
        InsertingRecord,
        ReadingRecord,
        Replying,
    };

    void handleCancelResults(Instant now, const TargetAnswer&);
    void handleOutcomeRecord(Instant now, const TargetAnswer&);

    Phase m_phase { Phase::InsertingRecord };
};

} // namespace Auburnpost
