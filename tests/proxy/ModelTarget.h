#pragma once

#include "proxy/Fingerprint.h"
#include "proxy/TargetRecord.h"
#include "proxy/TargetRequest.h"

#include <vector>

namespace Auburnpost::Proxy {

/// One commit in the log of a ModelTarget.
struct ModelCommit {
    LogPoint point;
    std::size_t id { 0 };

    bool operator==(const ModelCommit&) const = default;
};

/// A target of ProtocolModel, reduced to what a promotion depends on.
class ModelTarget {
public:
    explicit ModelTarget(std::size_t index);

    std::size_t index { 0 };
    /// Number of crashes; a target that crashed restarts under a new name at the same address.
    std::size_t restarts { 0 };
    bool isRunning { true };
    /// Whether the process ended after an announced shutdown; its log is gone.
    bool hasLeft { false };
    bool isPrimary { false };
    bool isLeaving { false };
    std::size_t leavingTicks { 0 };
    Term term { 1 };
    Term fencedTerm;
    std::vector<ModelCommit> log;
    /// Number of ticks for which this primary has been able to reach one of a higher term.
    std::size_t newerPrimaryTicks { 0 };

    [[nodiscard]] TargetName name() const;
    [[nodiscard]] TargetRecord record() const;
    [[nodiscard]] LogPoint logEnd() const;
    [[nodiscard]] TargetStatus status() const;
    [[nodiscard]] bool holds(std::size_t commitId) const;
    /// @return whether this target can receive the log of a primary that it reaches.
    [[nodiscard]] bool canFollow(const ModelTarget& primary) const;
    /// Takes over the log of the primary; commits that the primary lacks are rolled back.
    void follow(const ModelTarget& primary);
    void append(std::size_t commitId);
    void becomePrimary(Term newTerm);
    void crash();
    /// Ends the process after an announced shutdown.
    void leave();
    /// Starts the process again with its log.
    void restart();
    /// Executes a command of a promotion.
    void execute(const TargetRequest&);
    void addTo(Fingerprint&) const;
};

} // namespace Auburnpost::Proxy
