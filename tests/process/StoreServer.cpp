#include "process/StoreServer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string_view>
#include <thread>

namespace Auburnpost::Test {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    constexpr auto lateAnswerDelay = std::chrono::milliseconds(700);
    constexpr std::string_view configurationTable = "op";
    constexpr std::string_view readPath = "/auburnpost/rows-get";
    constexpr std::string_view feedPath = "/auburnpost/rows-feed";
    constexpr std::string_view promotionPath = "/promotion";
    constexpr std::string_view transactionPath = "/auburnpost/rows-tx";

    std::string decodePercent(const std::string& text)
    {
        constexpr int hexadecimal = 16;
        std::string decoded;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, hexadecimal));
                at += 2;
            } else {
                decoded += text[at];
            }
        }
        return decoded;
    }

    std::map<std::string, std::string> readQuery(const std::string& text)
    {
        std::map<std::string, std::string> query;
        std::istringstream fields(text);
        std::string field;
        while (std::getline(fields, field, '&')) {
            const auto equals = std::min(field.find('='), field.size());
            query[field.substr(0, equals)] = decodePercent(field.substr(std::min(equals + 1, field.size())));
        }
        return query;
    }

    bool losesConnections(StoreFault fault)
    {
        return fault == StoreFault::Silent || fault == StoreFault::Reset;
    }

} // namespace

struct StoreServer::Call {
    std::string path;
    std::map<std::string, std::string> query;
    std::string host;
    std::string leaseHolder;
    std::string fencingToken;
    std::string body;

    /// @return the call, or nothing at the end of the connection.
    static std::optional<Call> read(SocketReader& reader)
    {
        std::string line;
        if (!reader.readLine(line))
            return {};
        std::istringstream words(line);
        std::string method;
        std::string target;
        words >> method >> target;
        Call call;
        const auto mark = std::min(target.find('?'), target.size());
        call.path = target.substr(0, mark);
        call.query = readQuery(target.substr(std::min(mark + 1, target.size())));
        std::size_t length = 0;
        while (reader.readLine(line) && !line.empty()) {
            constexpr std::string_view lengthHeader = "Content-Length: ";
            constexpr std::string_view agentHeader = "User-Agent: ";
            constexpr std::string_view holderHeader = "X-Lease-Holder: ";
            constexpr std::string_view tokenHeader = "X-Fencing-Token: ";
            if (line.starts_with(lengthHeader))
                length = std::stoul(line.substr(lengthHeader.size()));
            if (line.starts_with(holderHeader))
                call.leaseHolder = line.substr(holderHeader.size());
            if (line.starts_with(tokenHeader))
                call.fencingToken = line.substr(tokenHeader.size());
            // The header is HOST/DATA-CENTRE.
            if (line.starts_with(agentHeader))
                call.host = line.substr(agentHeader.size(), line.find('/', agentHeader.size()) - agentHeader.size());
        }
        if (!reader.readBytes(length, call.body))
            return {};
        return call;
    }
};

StoreServer::~StoreServer()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

void StoreServer::write(const std::string& table, const std::string& key, const std::string& value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_rows.write(std::chrono::steady_clock::now(), table, key, value);
    }
    m_changed.notify_all();
}

void StoreServer::remove(const std::string& table, const std::string& key)
{
    {
        const std::lock_guard lock(m_mutex);
        m_rows.remove(std::chrono::steady_clock::now(), table, key);
    }
    m_changed.notify_all();
}

void StoreServer::countTransaction()
{
    const std::lock_guard lock(m_mutex);
    m_rows.countTransaction();
}

void StoreServer::setFault(const std::string& host, StoreFault fault)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults[host] = fault;
    }
    m_changed.notify_all();
}

void StoreServer::dropCalls(const std::string& table, std::size_t callsOfEachHost)
{
    const std::lock_guard lock(m_mutex);
    m_droppedTable = table;
    m_droppedOfEachHost = callsOfEachHost;
    m_dropped.clear();
}

bool StoreServer::isDropped(const Call& call)
{
    const std::lock_guard lock(m_mutex);
    const auto table = call.query.find("Table");
    if (table == call.query.end() || table->second != m_droppedTable || m_dropped[call.host] >= m_droppedOfEachHost)
        return false;
    ++m_dropped[call.host];
    return true;
}

void StoreServer::discardHistory()
{
    {
        const std::lock_guard lock(m_mutex);
        m_rows.discardHistory();
    }
    m_changed.notify_all();
}

void StoreServer::restoreCopy(std::chrono::milliseconds age)
{
    {
        const std::lock_guard lock(m_mutex);
        m_rows.restore(std::chrono::steady_clock::now() - age);
    }
    m_changed.notify_all();
}

StoreFault StoreServer::faultOf(const std::string& host) const
{
    for (const auto& name : { std::string(), host }) {
        const auto found = m_faults.find(name);
        if (found != m_faults.end() && found->second != StoreFault::None)
            return found->second;
    }
    return StoreFault::None;
}

void StoreServer::awaitEndOfSilence(const std::string& host)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_isStopping || faultOf(host) != StoreFault::Silent; });
}

RowStoreAnswer StoreServer::poll(const Call& call)
{
    const std::chrono::milliseconds wait(std::stoi(call.query.at("WaitMs")));
    const auto& table = call.query.at("Table");
    const auto after = std::stoull(call.query.at("after"));
    std::optional<RowStoreAnswer> changes;
    std::unique_lock lock(m_mutex);
    const bool hidesChanges = table == configurationTable && faultOf(call.host) == StoreFault::WithoutChanges;
    m_changed.wait_for(lock, wait, [&] {
        if (!hidesChanges)
            changes = m_rows.changes(std::chrono::steady_clock::now(), table, after);
        return changes || m_isStopping || losesConnections(faultOf(call.host));
    });
    return changes ? *changes : m_rows.noChanges(std::chrono::steady_clock::now());
}

RowStoreAnswer StoreServer::perform(const Call& call, StoreFault fault)
{
    if (fault == StoreFault::RefuseTooMany || fault == StoreFault::RefuseUnavailable) {
        const std::lock_guard lock(m_mutex);
        return m_rows.status(fault == StoreFault::RefuseTooMany ? statusTooMany : statusUnavailable);
    }
    if (call.path == feedPath)
        return poll(call);
    if (call.path == promotionPath && m_promote) {
        const auto body = nlohmann::json::parse(call.body);
        const PromotionCall promotion { body.at("Service").get<std::string>(), body.at("Id").get<std::string>(),
            call.leaseHolder, call.fencingToken };
        const int status = m_promote(promotion);
        const std::lock_guard lock(m_mutex);
        return m_rows.status(status);
    }
    RowStoreAnswer answer;
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        answer = m_rows.status(statusOk);
        if (call.path == readPath)
            answer = m_rows.read(now, call.query);
        else if (call.path == transactionPath)
            answer = m_rows.transact(now, call.body);
    }
    m_changed.notify_all();
    return answer;
}

void StoreServer::serve(const LoopbackSocket& connection)
{
    const auto currentFault = [this](const std::string& host) {
        const std::lock_guard lock(m_mutex);
        return faultOf(host);
    };
    SocketReader reader(connection);
    while (auto call = Call::read(reader)) {
        const auto faultBefore = currentFault(call->host);
        if (faultBefore == StoreFault::None && isDropped(*call)) {
            // The connection delivers nothing any more, until the host closes it.
            for (std::string line; reader.readLine(line);)
                continue;
            return;
        }
        RowStoreAnswer answer;
        if (!losesConnections(faultBefore))
            answer = perform(*call, faultBefore);
        const auto faultAfter = currentFault(call->host);
        if (losesConnections(faultBefore) || losesConnections(faultAfter)) {
            awaitEndOfSilence(call->host);
            return;
        }
        if (faultBefore == StoreFault::Late)
            std::this_thread::sleep_for(lateAnswerDelay);
        if (!connection.sendAll("HTTP/1.1 " + std::to_string(answer.status)
                + " -\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(answer.era)
                + "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body))
            return;
    }
}

} // namespace Auburnpost::Test
