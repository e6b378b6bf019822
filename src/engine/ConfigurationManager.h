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

/// Operations that ConfigurationManager requires from its host.
class ConfigurationManagerDelegate {
public:
    virtual ~ConfigurationManagerDelegate() = default;
    virtual Actions& actions() = 0;
    virtual PlatformCallId nextPlatformCall() = 0;
    /// Requests the document of another host; the response is passed to handlePeerDocument().
    /// @return whether the host is known.
    virtual bool requestDocument(const HostName&) = 0;
    /// Called after a newer document was installed.
    virtual void handleNewDocument(Instant now) = 0;
};

/// Manages the operators' document on one host: keeps it up to date, provides it to peers and executes operators'
/// edits.
class ConfigurationManager {
public:
    ConfigurationManager(const Config::PlatformSettings&, RandomEngine&, ConfigurationManagerDelegate&);

    void tick(Instant now);
    void handlePlatformAnswer(Instant now, const PlatformAnswer&);
    void handlePeerVersion(Instant now, const HostName&, ConfigVersion);
    void handlePeerDocument(Instant now, const HostName&, ConfigVersion, std::string bytes);
    /// Starts an operator's edit, which is answered by an AnswerOperator action.
    /// @param editId unique for each edit.
    void startEdit(Instant now, const SectionPut&, std::string editId);

    /// @return the current document; null before the first.
    [[nodiscard]] const Config::Document* document() const;
    [[nodiscard]] ConfigVersion version() const { return m_store.version(); }
    /// @return the value of the document's row, as it is sent to peers.
    [[nodiscard]] const std::string& bytes() const { return m_store.bytes(); }
    /// @return all sections of the current document, or the named one, as JSON; empty when there is none.
    [[nodiscard]] std::string sectionText(const std::string& section) const;
    [[nodiscard]] bool isPlatformUnavailable() const { return m_poll.isPlatformUnavailable(); }

private:
    void perform(Instant now, const Config::DocumentPoll::Actions&);
    void perform(Instant now, const PlatformCall&);
    void perform(Instant now, const Config::RequestPeerDocument&);
    void perform(Instant now, const Config::DocumentInstalled&);
    void perform(Instant now, const LogRecord&);
    void sendCalls(std::vector<PlatformCall>);
    void finishEdits(Instant now);
    void answerOperator(Instant now, RequestId, const Config::EditOutcome&);

    Duration m_callTimeout;
    RandomEngine& m_random;
    ConfigurationManagerDelegate& m_delegate;
    Config::DocumentStore m_store;
    Config::DocumentPoll m_poll;
    std::map<RequestId, Config::SectionEdit> m_edits;
    bool m_started { false };
};

} // namespace Auburnpost
