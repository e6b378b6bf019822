#include "target/PgConnection.h"

#include "target/PgReader.h"
#include "target/PgServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace Auburnpost::Standin {

namespace {

    constexpr std::uint32_t protocolVersion = 196608;
    constexpr std::uint32_t cancelRequest = 80877102;
    constexpr std::uint32_t sslRequest = 80877103;
    constexpr std::uint32_t gssRequest = 80877104;
    constexpr std::size_t lengthSize = 4;
    constexpr std::size_t maxMessageSize = 64U << 20U;

    std::map<std::string, std::string> readParameters(std::string_view body)
    {
        std::map<std::string, std::string> parameters;
        PgReader reader(body);
        for (std::string name = reader.text(); !name.empty(); name = reader.text())
            parameters[name] = reader.text();
        return parameters;
    }

    /// @return the idle-in-transaction limit in the client's startup options; zero for none.
    Duration readIdleLimit(const std::string& options)
    {
        static const std::string name = "idle_in_transaction_session_timeout=";
        const auto at = options.find(name);
        if (at == std::string::npos)
            return {};
        return std::chrono::milliseconds(std::strtoll(options.c_str() + at + name.size(), nullptr, 10));
    }

} // namespace

PgConnection::PgConnection(PgServer& server, std::uint64_t id, int descriptor)
    : m_server(server)
    , m_id(id)
    , m_stream(bufferevent_socket_new(server.loop().base(), descriptor, BEV_OPT_CLOSE_ON_FREE))
    , m_idleTimer(server.loop(), [this] { close(); })
    , m_inbound(server.loop(), [this](const std::string& bytes) { receive(bytes); })
    , m_outbound(server.loop(), [this](const std::string& bytes) { writeOut(bytes); })
{
    bufferevent_setcb(m_stream, onRead, onWritten, onEvent, this);
    applyFaults();
}

PgConnection::~PgConnection()
{
    close();
}

void PgConnection::applyFaults()
{
    if (m_closed)
        return;
    const bool cut = m_server.target().faults().isCut(m_peer);
    m_inbound.setPaused(cut);
    m_outbound.setPaused(cut);
    if (cut)
        bufferevent_disable(m_stream, EV_READ | EV_WRITE);
    else
        bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

void PgConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    m_idleTimer.stop();
    m_inbound.setPaused(true);
    m_outbound.setPaused(true);
    if (m_session)
        m_session->abandon();
    bufferevent_free(m_stream);
    m_server.remove(m_id);
}

void PgConnection::onRead(bufferevent* stream, void* self)
{
    evbuffer* const input = bufferevent_get_input(stream);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    static_cast<PgConnection*>(self)->m_inbound.push(std::move(bytes));
}

void PgConnection::onWritten(bufferevent*, void* self)
{
    auto& connection = *static_cast<PgConnection*>(self);
    if (connection.m_lastBytesQueued)
        connection.close();
}

void PgConnection::onEvent(bufferevent*, short events, void* self)
{
    if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        static_cast<PgConnection*>(self)->m_inbound.push("");
}

void PgConnection::receive(const std::string& bytes)
{
    // As in PostgreSQL, messages received before the end of the stream are still processed.
    m_inputEnded = m_inputEnded || bytes.empty();
    m_input += bytes;
    processInput();
}

void PgConnection::processInput()
{
    if (m_isProcessing)
        return;
    m_isProcessing = true;
    while (!m_closed && !m_closing && (m_startupReceived ? handleNextMessage() : handleStartup())) { }
    m_isProcessing = false;
    if (m_inputEnded && !(m_session && m_session->isBusy()))
        close();
}

bool PgConnection::handleNextMessage()
{
    if (!m_sessionBegun || m_session->isBusy() || m_input.size() < 1 + lengthSize)
        return false;
    const auto length = PgReader(std::string_view(m_input).substr(1)).int32();
    if (length < lengthSize || length > maxMessageSize) {
        close();
        return false;
    }
    if (m_input.size() < 1 + length)
        return false;
    m_idleTimer.stop();
    const std::string message = m_input.substr(0, 1 + length);
    m_input.erase(0, 1 + length);
    m_session->handle(message.front(), std::string_view(message).substr(1 + lengthSize));
    return true;
}

bool PgConnection::handleStartup()
{
    if (m_input.size() < 2 * lengthSize)
        return false;
    PgReader reader(m_input);
    const auto length = reader.int32();
    const auto code = reader.int32();
    if (length < 2 * lengthSize || length > maxMessageSize || code == cancelRequest) {
        close();
        return false;
    }
    if (m_input.size() < length)
        return false;
    const std::string body = m_input.substr(2 * lengthSize, length - 2 * lengthSize);
    m_input.erase(0, length);
    if (code == sslRequest || code == gssRequest)
        send("N", false);
    else if (code == protocolVersion)
        start(body);
    else
        close();
    return true;
}

void PgConnection::start(std::string_view body)
{
    try {
        m_startupReceived = true;
        admit(readParameters(body));
    } catch (const PgBadMessage& problem) {
        reject({ SqlState::protocol, problem.what() });
    }
}

void PgConnection::admit(const std::map<std::string, std::string>& parameters)
{
    const auto value = [&](const char* name) {
        const auto found = parameters.find(name);
        return found == parameters.end() ? std::string() : found->second;
    };
    const std::string application = value("application_name");
    const auto slash = application.find('/');
    m_peer = application.substr(0, slash);
    m_idleLimit = readIdleLimit(value("options"));
    const DataCentreName dataCentre(slash == std::string::npos ? "" : application.substr(slash + 1));
    const Duration delay = m_server.target().settings().delayTo(dataCentre);
    m_inbound.setDelay(delay);
    m_outbound.setDelay(delay);
    applyFaults();
    if (const auto refusal = m_server.refusal(value("database"))) {
        reject(*refusal);
        return;
    }
    m_admitted = true;
    m_server.recordPeakConnections();
    // The startup packet arrived before the client's data centre was known, so its delay is added here.
    const auto wait = m_server.target().settings().connectTime + delay;
    m_server.loop().runAfter(wait, [&server = m_server, id = m_id] {
        if (const auto connection = server.find(id))
            connection->beginSession();
    });
}

void PgConnection::reject(const SqlError& sqlError)
{
    ++m_server.target().counters.refusedConnections;
    PgWriter writer;
    writer.error("FATAL", sqlError);
    m_closing = true;
    m_outbound.push(writer.takeBytes());
}

void PgConnection::beginSession()
{
    const auto sendAnswer = [this](std::string bytes, bool isWhole) { send(std::move(bytes), isWhole); };
    m_session = std::make_shared<PgSession>(m_server.makeExecutor(m_id), sendAnswer, [this] { close(); });
    m_session->setOnIdle([this] { processInput(); });
    m_sessionBegun = true;
    m_session->sendStartupMessages(static_cast<std::uint32_t>(m_id));
    processInput();
}

void PgConnection::startIdleTimer(const std::string& answer)
{
    // An answer ends with the transaction status: 'I' idle, 'T' in a transaction, 'E' in a failed transaction.
    const bool inTransaction = !answer.empty() && (answer.back() == 'T' || answer.back() == 'E');
    if (inTransaction && m_idleLimit > Duration::zero())
        m_idleTimer.start(m_idleLimit);
}

void PgConnection::send(std::string bytes, bool isWholeAnswer)
{
    if (isWholeAnswer)
        startIdleTimer(bytes);
    if (m_closed)
        return;
    if (isWholeAnswer && m_server.losesAnswer()) {
        close();
        return;
    }
    m_outbound.push(std::move(bytes));
}

void PgConnection::writeOut(const std::string& bytes)
{
    if (m_closed)
        return;
    m_lastBytesQueued = m_closing && m_outbound.empty();
    bufferevent_write(m_stream, bytes.data(), bytes.size());
}

} // namespace Auburnpost::Standin
