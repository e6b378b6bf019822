#pragma once

#include "engine/PrimaryOperation.h"

namespace Auburnpost {

/// A write of one statement. It claims its outcome key in the same target transaction, so it can run once only and
/// its outcome can be found out from any copy of the log.
class WriteOperation : public PrimaryOperation {
public:
    using PrimaryOperation::PrimaryOperation;

    void answered(Instant now, const TargetAnswer&) override;
    void connectionLost(Instant now, const Error&) override;
    void primaryReplaced(Instant now) override;

protected:
    void begin(Instant now) override;
    [[nodiscard]] bool mayHaveRun() const override;

private:
    enum class Phase : std::uint8_t {
        /// Nothing was sent.
        Waiting,
        /// The key and the statement were sent, the commit was not: without it they have no effect.
        Executing,
        Committing,
        Committed,
        RollingBack,
        /// The key was taken: its record is being read.
        ReadingRecord,
    };

    void executed(Instant now, const TargetAnswer&);
    void committed(Instant now, const TargetAnswer&);
    void rolledBack(Instant now);
    void recordRead(Instant now, const TargetAnswer&);
    void answerRecord(Instant now, const OutcomeRecord&, const LogPoint&);

    Phase m_phase { Phase::Waiting };
    ResultSet m_result;
    /// The reply to give once the transaction is rolled back.
    std::optional<Error> m_refusal;
    bool m_keyTaken { false };
};

} // namespace Auburnpost
