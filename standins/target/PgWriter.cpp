#include "target/PgWriter.h"

#include <utility>

namespace Auburnpost::Standin {

namespace {

    constexpr std::uint32_t nullLength = 0xffffffff;
    constexpr std::uint32_t variableSize = 0xffff;
    constexpr std::uint32_t eightBytes = 8;
    constexpr std::uint32_t textType = 25;
    constexpr std::uint32_t noModifier = 0xffffffff;

    void putInt32(char* destination, std::uint32_t value)
    {
        for (int byte = 3; byte >= 0; --byte, value >>= 8)
            destination[byte] = static_cast<char>(value & 0xff);
    }

} // namespace

void PgWriter::empty(char type)
{
    start(type);
    finish();
}

void PgWriter::authenticationOk()
{
    start('R');
    int32(0);
    finish();
}

void PgWriter::parameterStatus(std::string_view name, std::string_view value)
{
    start('S');
    text(name);
    text(value);
    finish();
}

void PgWriter::backendKey(std::uint32_t process, std::uint32_t secret)
{
    start('K');
    int32(process);
    int32(secret);
    finish();
}

void PgWriter::readyForQuery(char transactionStatus)
{
    start('Z');
    m_bytes += transactionStatus;
    finish();
}

void PgWriter::rowDescription(const std::vector<Column>& columns)
{
    start('T');
    int16(columns.size());
    for (const Column& column : columns) {
        text(column.name);
        int32(0);
        int16(0);
        int32(column.type);
        int16(column.type == textType ? variableSize : eightBytes);
        int32(noModifier);
        int16(0);
    }
    finish();
}

void PgWriter::parameterDescription(const std::vector<std::uint32_t>& types)
{
    start('t');
    int16(types.size());
    for (const auto type : types)
        int32(type ? type : textType);
    finish();
}

void PgWriter::dataRow(const std::vector<SqlValue>& row)
{
    start('D');
    int16(row.size());
    for (const SqlValue& value : row) {
        int32(value ? static_cast<std::uint32_t>(value->size()) : nullLength);
        m_bytes += value.value_or("");
    }
    finish();
}

void PgWriter::commandComplete(std::string_view tag)
{
    start('C');
    text(tag);
    finish();
}

void PgWriter::error(std::string_view severity, const SqlError& sqlError)
{
    start('E');
    for (const auto& [field, value] : { std::pair<char, std::string_view> { 'S', severity }, { 'V', severity },
             { 'C', sqlError.state }, { 'M', sqlError.message } }) {
        m_bytes += field;
        text(value);
    }
    m_bytes += '\0';
    finish();
}

std::string PgWriter::takeBytes()
{
    return std::exchange(m_bytes, {});
}

void PgWriter::start(char type)
{
    m_bytes += type;
    m_lengthOffset = m_bytes.size();
    int32(0);
}

void PgWriter::finish()
{
    putInt32(m_bytes.data() + m_lengthOffset, static_cast<std::uint32_t>(m_bytes.size() - m_lengthOffset));
}

void PgWriter::int16(std::size_t value)
{
    m_bytes += static_cast<char>(value >> 8 & 0xff);
    m_bytes += static_cast<char>(value & 0xff);
}

void PgWriter::int32(std::uint32_t value)
{
    m_bytes.append(sizeof value, '\0');
    putInt32(m_bytes.data() + m_bytes.size() - sizeof value, value);
}

void PgWriter::text(std::string_view value)
{
    m_bytes += value;
    m_bytes += '\0';
}

} // namespace Auburnpost::Standin
