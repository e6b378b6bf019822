#pragma once

#include "base/Random.h"
#include "config/DocumentPoll.h"
#include "config/DocumentStore.h"
#include "config/SectionEdit.h"
#include "config/Settings.h"
#include "engine/Action.h"
#include "engine/Event.h"

#include <map>
#include <optional>
#include <string>

namespace Auburnpost {

/// What the keeper asks of its host.
class ConfigKeeperOwner {
public:
    virtual ~ConfigKeeperOwner() = default;
    virtual Actions& actions() = 0;
    virtual PlatformCallId nextPlatformCall() = 0;
    /// Asks another host for its document; the answer goes to peerDocument().
    /// @return whether the host is known.
    virtual bool askForDocument(const HostName&) = 0;
    /// A newer document is in force.
    virtual void documentApplied(Instant now) = 0;
};

/// The operators' document on one host: kept up to date, handed on to peers, edited for operators.
class ConfigKeeper {
public:
    ConfigKeeper(const Config::PlatformSettings&, RandomEngine&, ConfigKeeperOwner&);

    void tick(Instant now);
    void platformAnswered(Instant now, const PlatformAnswer&);
    void peerHasVersion(Instant now, const HostName&, ConfigVersion);
    void peerDocument(Instant now, const HostName&, ConfigVersion, std::string bytes);
    /// Begins an operator's edit; its answer comes as AnswerOperator.
    /// @param editId unique for each edit.
    void edit(Instant now, const SectionPut&, std::string editId);

    /// @return the document in force; null before the first.
    [[nodiscard]] const Config::Document* document() const;
    [[nodiscard]] ConfigVersion version() const { return m_store.version(); }
    /// @return the row's value, as it is handed to peers.
    [[nodiscard]] const std::string& bytes() const { return m_store.bytes(); }
    /// @return the sections in force, or the one that is named, as JSON; empty when there is none.
    [[nodiscard]] std::string sectionText(const std::string& section) const;
    [[nodiscard]] bool isPlatformLost() const { return m_poll.isPlatformLost(); }

private:
    void perform(Instant now, const Config::DocumentPoll::Actions&);
    void perform(Instant now, const PlatformCall&);
    void perform(Instant now, const Config::AskPeer&);
    void perform(Instant now, const Config::DocumentApplied&);
    void perform(Instant now, const LogRecord&);
    void call(std::vector<PlatformCall>);
    void finishEdits(Instant now);
    void answer(Instant now, RequestId, const Config::EditOutcome&);

    Duration m_callTimeout;
    RandomEngine& m_random;
    ConfigKeeperOwner& m_owner;
    Config::DocumentStore m_store;
    Config::DocumentPoll m_poll;
    std::map<RequestId, Config::SectionEdit> m_edits;
    bool m_started { false };
};

} // namespace Auburnpost
