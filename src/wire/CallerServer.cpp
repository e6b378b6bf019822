#include "wire/CallerServer.h"

#include "wire/CallerAnswerWriter.h"
#include "wire/CallerRequestReader.h"

#include <sigc++/functors/mem_fun.h>

namespace Auburnpost::Wire {

CallerServer::CallerServer(event_base* base, SocketAddress address, CallerServerLimits limits)
    : m_server(base, std::move(address), limits)
{
    m_server.requestReceived().connect(sigc::mem_fun(*this, &CallerServer::onRequestReceived));
    m_server.requestRefused().connect(sigc::mem_fun(*this, &CallerServer::onRequestRefused));
}

void CallerServer::onRequestReceived(const HttpRequest& message)
{
    const auto request = readCallerRequest(message);
    if (request)
        m_requestReceived.emit(*request);
    else
        onRequestRefused(message.id, request.error());
}

void CallerServer::onRequestRefused(RequestId id, const Error& error)
{
    m_server.reply(id, writeRefusal({ FailedOutcome::NotRun, error, {} }));
}

void CallerServer::answer(const CallerAnswer& answer)
{
    m_server.reply(answer.id, writeCallerAnswer(answer));
}

} // namespace Auburnpost::Wire
