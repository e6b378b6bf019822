#include "app/LogBuffer.h"

#include <utility>

namespace Auburnpost {

void LogBuffer::add(std::string_view text)
{
    if (m_text.size() + text.size() > capacity)
        ++m_dropped;
    else
        m_text += text;
}

void LogBuffer::flush(const Sink& sink)
{
    std::size_t written = 0;
    while (written < m_text.size()) {
        const auto taken = sink(std::string_view(m_text).substr(written));
        if (taken == 0)
            break;
        written += taken;
    }
    m_text.erase(0, written);
}

std::size_t LogBuffer::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace Auburnpost
