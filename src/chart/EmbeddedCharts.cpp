#include "chart/EmbeddedCharts.h"

// clang-format off
namespace Auburnpost::Chart {

namespace {

constexpr std::string_view promotionText = R"scxml(<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="Idle">
  <state id="Idle">
    <transition event="start" target="Delaying"/>
  </state>
  <state id="Delaying">
    <transition event="progress" cond="reasonGone" target="Idle"><action name="withdraw"/></transition>
    <transition event="progress" cond="delayPassed" target="Reading"/>
  </state>
  <state id="Claiming" initial="Reading">
    <transition event="claimRefused" cond="recordsOnly" target="Idle"><action name="postponeRecord"/></transition>
    <transition event="recordPostponed" target="Idle"><action name="postponeRecord"/></transition>
    <transition event="progress" cond="recordLate" target="Idle"><action name="postponeRecord"/></transition>
    <transition event="recordCurrent" target="Idle"/>
    <transition event="claimHeld" target="Delaying"><action name="waitForHolder"/></transition>
    <transition event="claimRefused" target="Delaying"><action name="delayRetry"/></transition>
    <transition event="handoverPostponed" target="Delaying"><action name="postponeHandover"/></transition>
    <transition event="progress" cond="claimLate" target="Delaying"><action name="delayRetry"/></transition>
    <state id="Reading">
      <onentry><action name="readClaim"/></onentry>
      <transition event="claimFree" target="Writing"/>
    </state>
    <state id="Writing">
      <onentry><action name="writeClaim"/></onentry>
      <transition event="claimTaken" cond="recordsOnly" target="Idle"/>
      <transition event="claimTaken" cond="repairsOnly" target="Finishing"/>
      <transition event="claimTaken" cond="canHandOver" target="Demoting"/>
      <transition event="claimTaken" target="Fencing"/>
    </state>
  </state>
  <state id="Attempt" initial="Fencing">
    <transition event="progress" cond="superseded" target="Finishing"/>
    <transition event="progress" cond="claimEnds" target="Delaying"><action name="giveUp"/></transition>
    <transition event="claimRefused" target="Delaying"><action name="giveUp"/></transition>
    <state id="Demoting">
      <onentry><action name="startHandover"/></onentry>
      <transition event="progress" cond="handoverReady" target="Recording"/>
      <transition event="progress" cond="handoverStalled" target="Fencing"/>
      <transition event="progress" cond="handoverPollDue"><action name="pollHandover"/></transition>
    </state>
    <state id="Fencing">
      <onentry><action name="fenceMembers"/></onentry>
      <transition event="progress" cond="candidateRecorded" target="Verifying"><action name="closePrimaryLog"/><action name="askFenced"/></transition>
      <transition event="progress" cond="enoughFenced" target="Recording"><action name="closePrimaryLog"/><action name="askFenced"/></transition>
      <transition event="progress" cond="retryDue"><action name="fenceMembers"/></transition>
      <transition event="listed"><action name="fenceMembers"/></transition>
    </state>
    <state id="Recording">
      <onentry><action name="recordCandidate"/></onentry>
      <transition event="progress"/>
      <transition event="recorded" target="Verifying"/>
    </state>
    <state id="Verifying">
      <transition event="progress" cond="handsOver" target="Calling"/>
      <transition event="progress" cond="fencesHold" target="Calling"/>
      <transition event="progress" cond="retryDue" target="Fencing"/>
    </state>
  </state>
  <state id="Calling">
    <onentry><action name="callPromotion"/></onentry>
    <transition event="accepted" target="Awaiting"/>
    <transition event="unanswered" target="Awaiting"/>
    <transition event="notRunning" target="Delaying"><action name="giveUp"/></transition>
    <transition event="notDone" target="Delaying"><action name="giveUp"/></transition>
  </state>
  <state id="Awaiting">
    <onentry><action name="demoteFormer"/></onentry>
    <transition event="progress" cond="promotedSeen" target="Finishing"/>
    <transition event="progress" cond="awaitLimitPassed" target="Delaying"><action name="delayRetry"/></transition>
    <transition event="progress" cond="retryDue"><action name="demoteFormer"/><action name="fenceAgain"/></transition>
  </state>
  <state id="Finishing">
    <onentry><action name="joinMembers"/></onentry>
    <transition event="progress" cond="allJoined" target="Idle"/>
    <transition event="progress" cond="finishLimitPassed" target="Idle"/>
    <transition event="progress" cond="renewalDue" target="Reading"><action name="renewForRepairs"/></transition>
    <transition event="progress" cond="claimEnds" target="Idle"/>
    <transition event="progress" cond="retryDue"><action name="joinMembers"/></transition>
  </state>
</scxml>
)scxml";

constexpr std::string_view shutdownText = R"scxml(<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="Serving">
  <state id="Serving">
    <transition event="signal" target="AnnouncingLeave"/>
  </state>
  <state id="Stopping" initial="AnnouncingLeave">
    <onentry><action name="refuseReadiness"/></onentry>
    <transition event="signal" target="Stopped"><action name="reportCut"/></transition>
    <transition event="deadline" target="Stopped"><action name="reportCut"/></transition>
    <state id="AnnouncingLeave">
      <onentry><action name="announceLeave"/></onentry>
      <transition event="announced" target="Draining"/>
    </state>
    <state id="Draining">
      <onentry><action name="stopAccepting"/></onentry>
      <transition event="progress" cond="nothingInFlight" target="Stopped"/>
    </state>
  </state>
  <state id="Stopped">
    <onentry><action name="stop"/></onentry>
  </state>
</scxml>
)scxml";

constexpr std::string_view takeoverText = R"scxml(<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="Idle">
  <state id="Idle">
    <transition event="startSwitch" target="Draining"/>
    <transition event="startAttempt" target="Fencing"/>
  </state>
  <state id="Switching" initial="Draining">
    <onentry><action name="drainWrites"/></onentry>
    <transition event="primaryFailed" target="Idle"><action name="resumeWrites"/></transition>
    <transition event="termChanged" target="Idle"><action name="resumeWrites"/></transition>
    <state id="Draining">
      <transition event="progress" cond="writesDrained" target="CatchingUp"/>
      <transition event="progress" cond="drainLimitPassed" target="CatchingUp"/>
    </state>
    <state id="CatchingUp">
      <onentry><action name="markPrimaryEnd"/></onentry>
      <transition event="progress" cond="chosenCaughtUp" target="Fencing"/>
      <transition event="progress" cond="catchUpLimitPassed" target="Idle">
        <action name="giveUp"/>
        <action name="resumeWrites"/>
      </transition>
    </state>
  </state>
  <state id="Attempt" initial="Fencing">
    <transition event="superseded" target="Idle"><action name="giveUp"/></transition>
    <transition event="progress" cond="stepLimitPassed" target="Idle"><action name="giveUp"/></transition>
    <onexit><action name="resumeWrites"/></onexit>
    <state id="Fencing">
      <onentry><action name="fenceMembers"/></onentry>
      <transition event="progress" cond="majorityFenced" target="Promoting"/>
      <transition event="progress" cond="retryDue"><action name="fenceAgain"/></transition>
    </state>
    <state id="Promoting">
      <onentry><action name="promoteBest"/></onentry>
      <transition event="promoted" target="Idle"><action name="announcePrimary"/></transition>
      <transition event="progress" cond="retryDue"><action name="promoteAgain"/></transition>
    </state>
  </state>
</scxml>
)scxml";

constexpr std::string_view transactionText = R"scxml(<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" initial="Open">
  <state id="Open">
    <transition event="statement"><action name="runStatement"/></transition>
    <transition event="commit" target="Committing"/>
    <transition event="rollback" target="Closed"><action name="rollBack"/></transition>
    <transition event="idle" target="Closed"><action name="rollBack"/></transition>
    <transition event="connectionLost" target="Closed"><action name="answerNotRun"/></transition>
  </state>
  <state id="Committing">
    <onentry><action name="sendCommit"/></onentry>
    <transition event="committed" target="Closed"><action name="answerDone"/></transition>
    <transition event="refused" target="Closed"><action name="answerNotRun"/></transition>
    <transition event="connectionLost" target="Resolving"/>
    <transition event="notDurable" target="Resolving"/>
  </state>
  <state id="Resolving">
    <onentry><action name="lookUpOutcome"/></onentry>
    <transition event="found" target="Closed"><action name="answerDone"/></transition>
    <transition event="absent" target="Closed"><action name="answerNotRun"/></transition>
    <transition event="lookupFailed"><action name="lookUpOutcome"/></transition>
    <transition event="deadline" target="Closed"><action name="answerUnknown"/></transition>
  </state>
  <state id="Closed">
    <onentry><action name="releaseConnection"/></onentry>
  </state>
</scxml>
)scxml";

} // namespace

const std::vector<EmbeddedChart>& embeddedCharts()
{
    static const std::vector<EmbeddedChart> charts {
        { "promotion", promotionText },
        { "shutdown", shutdownText },
        { "takeover", takeoverText },
        { "transaction", transactionText },
    };
    return charts;
}

std::string_view embeddedChart(std::string_view name)
{
    for (const auto& chart : embeddedCharts()) {
        if (chart.name == name)
            return chart.text;
    }
    return {};
}

} // namespace Auburnpost::Chart
