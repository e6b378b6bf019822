#pragma once

#include "engine/PrimaryOperation.h"

namespace Auburnpost {

/// A write of one statement. It inserts its outcome record in the same target transaction, so that it can be executed
/// only once and its outcome can be read from any copy of the log.
class WriteOperation : public PrimaryOperation {
public:
    using PrimaryOperation::PrimaryOperation;

    void onAnswer(Instant now, const TargetAnswer&) override;
    void onConnectionLost(Instant now, const Error&) override;
    void onPrimaryReplaced(Instant now) override;

protected:
    void sendFirstStatements(Instant now) override;
    [[nodiscard]] bool mayHaveRun() const override;

private:
    enum class Phase : std::uint8_t {
        /// Nothing has been sent.
        Waiting,
        /// The outcome record and the statement were sent, the commit was not; without it they have no effect.
        Executing,
        Committing,
        Committed,
        RollingBack,
        /// The key already has a record, which is being read.
        ReadingRecord,
    };

    void handleStatementResults(Instant now, const TargetAnswer&);
    void handleCommitResults(Instant now, const TargetAnswer&);
    void handleRollbackDone(Instant now);
    void handleOutcomeRecord(Instant now, const TargetAnswer&);
    void replyFromRecord(Instant now, const OutcomeRecord&, const LogPoint&);

    Phase m_phase { Phase::Waiting };
    ResultSet m_result;
    /// The error to reply with once the transaction is rolled back.
    std::optional<Error> m_failure;
    bool m_isKeyTaken { false };
};

} // namespace Auburnpost
