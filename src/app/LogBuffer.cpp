#include "app/LogBuffer.h"

#include <utility>

namespace Auburnpost {

void LogBuffer::add(std::string_view text)
{
    if (m_text.size() + text.size() > capacityBytes)
        ++m_dropped;
    else
        m_text += text;
}

void LogBuffer::flush(const Sink& sink)
{
    std::size_t written = 0;
    while (written < m_text.size()) {
        const auto accepted = sink(std::string_view(m_text).substr(written));
        if (accepted == 0)
            break;
        written += accepted;
    }
    m_text.erase(0, written);
}

std::size_t LogBuffer::takeDroppedCount()
{
    return std::exchange(m_dropped, 0);
}

} // namespace Auburnpost
