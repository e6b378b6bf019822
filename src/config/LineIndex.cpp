#include "config/LineIndex.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Auburnpost::Config {

namespace {

    using Json = nlohmann::json;

    /// @return "/key", escaped for a JSON pointer.
    std::string pointerTo(const std::string& key)
    {
        return (Json::json_pointer() / key).to_string();
    }

    /// @return the exception's message without the library's error number.
    std::string messageWithoutNumber(const std::exception& problem)
    {
        const std::string message(problem.what());
        const auto end = message.find("] ");
        return end == std::string::npos ? message : message.substr(end + 2);
    }

} // namespace

/// Receives the events of the JSON parser and records lines. The lexer reads at most one byte beyond a value;
/// currentLine() does not count that byte.
class LineIndex::Recorder : public nlohmann::json_sax<Json> {
public:
    /// @param stream the stream from which the parser reads @p text.
    Recorder(LineIndex& index, std::string_view text, std::istream& stream)
        : m_index(index)
        , m_text(text)
        , m_stream(stream)
    {
        m_index.m_lines.emplace("", 1);
    }

    bool null() override { return addElement(); }
    bool boolean(bool) override { return addElement(); }
    bool number_integer(number_integer_t) override { return addElement(); }
    bool number_unsigned(number_unsigned_t) override { return addElement(); }
    bool number_float(number_float_t, const string_t&) override { return addElement(); }
    bool string(string_t&) override { return addElement(); }
    bool binary(binary_t&) override { return addElement(); }
    bool start_object(std::size_t) override { return open(false); }
    bool start_array(std::size_t) override { return open(true); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& name) override
    {
        m_currentPath = path() + pointerTo(name);
        if (!m_index.m_lines.emplace(m_currentPath, currentLine()).second)
            m_index.m_duplicates.push_back({ m_currentPath, currentLine() });
        return true;
    }

    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception& problem) override
    {
        m_index.m_faults.push_back({ currentLine(), messageWithoutNumber(problem) });
        return false;
    }

private:
    struct Container {
        std::string path;
        bool isArray;
        std::size_t size;
    };

    [[nodiscard]] std::string path() const { return m_openContainers.empty() ? "" : m_openContainers.back().path; }

    int currentLine()
    {
        const auto consumed = m_stream.rdbuf()->pubseekoff(0, std::ios::cur, std::ios::in);
        const auto offset = std::max(m_countedBytes, std::streamoff(consumed) - 1);
        m_line += static_cast<int>(std::count(m_text.begin() + m_countedBytes, m_text.begin() + offset, '\n'));
        m_countedBytes = offset;
        return m_line;
    }

    bool addElement()
    {
        if (!m_openContainers.empty() && m_openContainers.back().isArray) {
            m_currentPath = path() + "/" + std::to_string(m_openContainers.back().size++);
            m_index.m_lines.emplace(m_currentPath, currentLine());
        }
        return true;
    }

    bool open(bool isArray)
    {
        addElement();
        m_openContainers.push_back({ m_currentPath, isArray, 0 });
        return true;
    }

    bool close()
    {
        m_openContainers.pop_back();
        return true;
    }

    LineIndex& m_index;
    std::string_view m_text;
    std::istream& m_stream;
    std::vector<Container> m_openContainers;
    /// Path of the next value to be read, or of the last one read.
    std::string m_currentPath;
    /// Number of bytes of the text whose newlines are counted in m_line.
    std::streamoff m_countedBytes { 0 };
    int m_line { 1 };
};

LineIndex::LineIndex(std::string_view text)
{
    std::istringstream stream { std::string(text) };
    Recorder recorder(*this, text, stream);
    nlohmann::json::sax_parse(stream, &recorder);
}

int LineIndex::line(std::string path) const
{
    if (m_lines.empty())
        return 0;
    for (;;) {
        const auto found = m_lines.find(path);
        if (found != m_lines.end())
            return found->second;
        const auto slash = path.rfind('/');
        if (slash == std::string::npos)
            return 1;
        path.resize(slash);
    }
}

} // namespace Auburnpost::Config
