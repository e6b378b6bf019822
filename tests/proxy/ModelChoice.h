#pragma once

#include <cstdint>
#include <vector>

namespace Auburnpost::Proxy {

/// One step of a schedule of ProtocolModel.
struct ModelChoice {
    enum class Kind : std::uint8_t {
        /// Delivers the oldest batch of messages; without one, time passes until something happens.
        Step,
        /// One tick passes although messages are due, or although nothing happens in it.
        Tick,
        /// Holds back one message of the oldest batch.
        Hold,
        /// Delivers a message that was held back.
        Release,
        /// The primary completes a commit that one replica receives.
        Commit,
        /// The primary appends a commit that no replica receives yet.
        CommitAlone,
        Crash,
        Return,
        /// Cuts one replica off from the primary.
        Cut,
        /// Cuts all replicas that stay off from the primary.
        CutStaying,
        /// Cuts one host off from the primary.
        CutHost,
        /// Ends all cuts.
        Heal,
        Join,
        /// A target announces its shutdown.
        Leave,
        /// The process of a leaving target ends.
        End,
        /// The record of a running target disappears for a while.
        Lapse,
        RestartHost,
        PauseHost,
        ContinueHost,
    };

    Kind kind { Kind::Step };
    /// Index of the target, the host, or the message.
    std::uint8_t index { 0 };
};

using ModelSchedule = std::vector<ModelChoice>;

} // namespace Auburnpost::Proxy
