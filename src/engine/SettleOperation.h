#pragma once

#include "engine/PrimaryOperation.h"

namespace Auburnpost {

/// Finds out the outcome of a write from its record. Cancel claims the key first, so that a write that has not run
/// never will; Lookup only looks.
class SettleOperation : public PrimaryOperation {
public:
    using PrimaryOperation::PrimaryOperation;

    void answered(Instant now, const TargetAnswer&) override;
    void connectionLost(Instant now, const Error&) override;
    void primaryReplaced(Instant now) override;

protected:
    void begin(Instant now) override;
    /// Doing it again does no harm, so its own outcome never matters.
    [[nodiscard]] bool mayHaveRun() const override { return false; }

private:
    enum class Phase : std::uint8_t {
        Claiming,
        Reading,
        Answered,
    };

    void claimAnswered(Instant now, const TargetAnswer&);
    void recordRead(Instant now, const TargetAnswer&);

    Phase m_phase { Phase::Claiming };
};

} // namespace Auburnpost
