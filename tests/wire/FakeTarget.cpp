#include "wire/FakeTarget.h"

#include <arpa/inet.h>
#include <cstring>

namespace {

constexpr std::size_t lengthBytes = 4;

std::string number32(std::uint32_t value)
{
    const auto ordered = htonl(value);
    return { reinterpret_cast<const char*>(&ordered), sizeof(ordered) };
}

std::string number16(std::uint16_t value)
{
    const auto ordered = htons(value);
    return { reinterpret_cast<const char*>(&ordered), sizeof(ordered) };
}

std::string text(const std::string& value)
{
    return value + '\0';
}

std::string message(char type, const std::string& payload)
{
    return type + number32(static_cast<std::uint32_t>(payload.size() + lengthBytes)) + payload;
}

std::size_t readLength(const std::string& bytes, std::size_t offset)
{
    std::uint32_t ordered = 0;
    std::memcpy(&ordered, bytes.data() + offset, sizeof(ordered));
    return ntohl(ordered);
}

} // namespace

FakeTarget::FakeTarget(event_base* base)
    : m_server(base, [this](RawServer::Session& session) { onBytes(session); })
{
}

void FakeTarget::onBytes(RawServer::Session& session)
{
    while (session.buffer && handleMessage(session)) { }
}

bool FakeTarget::handleMessage(RawServer::Session& session)
{
    auto& progress = m_progress[session.number];
    const std::size_t typeBytes = progress.started ? 1 : 0;
    auto& input = session.input;
    if (input.size() < typeBytes + lengthBytes)
        return false;
    const auto size = typeBytes + readLength(input, typeBytes);
    if (input.size() < size)
        return false;
    const auto payload = input.substr(typeBytes + lengthBytes, size - typeBytes - lengthBytes);
    const char type = progress.started ? input.front() : '\0';
    input.erase(0, size);
    if (!progress.started) {
        progress.started = true;
        m_startup = payload;
        RawServer::send(session, m_greeting);
    } else if (type == 'P')
        progress.statements.emplace_back(payload.c_str() + std::strlen(payload.c_str()) + 1);
    else if (type == 'S')
        RawServer::send(session, m_script(std::exchange(progress.statements, {})));
    return true;
}

std::string FakeTarget::parameter(const std::string& name, const std::string& value)
{
    return message('S', text(name) + text(value));
}

std::string FakeTarget::status(int term, int position, int fenced, const std::string& role)
{
    return parameter("group_term", std::to_string(term)) + parameter("group_position", std::to_string(position))
        + parameter("group_fenced", std::to_string(fenced)) + parameter("group_role", role);
}

std::string FakeTarget::greeting()
{
    return message('R', number32(0)) + parameter("client_encoding", "UTF8") + status(3, 7, 4, "primary") + ready();
}

std::string FakeTarget::row(const std::vector<std::string>& values, const std::string& tag)
{
    constexpr std::uint32_t textType = 25;
    constexpr std::uint16_t anySize = 0xffff;
    std::string columns = number16(static_cast<std::uint16_t>(values.size()));
    std::string data = columns;
    for (const auto& value : values) {
        columns += text("c") + number32(0) + number16(0) + number32(textType) + number16(anySize) + number32(0);
        columns += number16(0);
        data += value == "\\N" ? number32(~0U) : number32(static_cast<std::uint32_t>(value.size())) + value;
    }
    return message('1', "") + message('2', "") + message('T', columns) + message('D', data) + message('C', text(tag));
}

std::string FakeTarget::done(const std::string& tag)
{
    return message('1', "") + message('2', "") + message('n', "") + message('C', text(tag));
}

std::string FakeTarget::fault(const std::string& state, const std::string& text, const std::string& severity)
{
    return message(
        'E', 'S' + ::text(severity) + 'V' + ::text(severity) + 'C' + ::text(state) + 'M' + ::text(text) + '\0');
}

std::string FakeTarget::ready()
{
    return message('Z', "I");
}
