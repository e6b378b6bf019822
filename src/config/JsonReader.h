#pragma once

#include "base/SocketAddress.h"
#include "base/Time.h"
#include "config/DocumentProblem.h"
#include "config/Json.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Auburnpost::Config {

/// A JSON value of the document and its path inside the section.
struct JsonNode {
    const Json* value;
    /// JSON pointer.
    std::string path;
};

/// Typed access to the values of one section. A value of another type or form is reported as an error, and the
/// reading function returns nothing.
class JsonReader {
public:
    /// @param problems receives the problems; must outlive this object.
    JsonReader(std::string section, std::vector<DocumentProblem>& problems);

    void error(const std::string& path, std::string message);
    void warn(const std::string& path, std::string message);

    /// @return the members of an object; none if the value is not an object, which is reported.
    std::vector<std::pair<std::string, JsonNode>> members(const JsonNode&);
    /// @return the elements of an array; none if the value is not an array, which is reported.
    std::vector<JsonNode> elements(const JsonNode&);
    /// @return the member of that name, if the value is an object that has it.
    std::optional<JsonNode> find(const JsonNode&, const std::string& name);
    /// Like find(), but reports a missing member.
    std::optional<JsonNode> require(const JsonNode&, const std::string& name);
    /// Reports every member of an object that is not in @p names.
    void rejectUnknownMembers(const JsonNode&, std::initializer_list<std::string_view> names);

    /// @return a name of letters, digits, '-', '_' and '.'.
    std::optional<std::string> name(const JsonNode&);
    /// @return whether @p text is a valid name; reports it otherwise.
    bool isName(const std::string& path, std::string_view text);
    std::optional<std::string> text(const JsonNode&);
    std::optional<SocketAddress> address(const JsonNode&);
    /// @return a whole number above zero.
    std::optional<unsigned> count(const JsonNode&);
    /// @return an age given in whole milliseconds, zero included.
    std::optional<Duration> age(const JsonNode&);

private:
    void report(ProblemSeverity, const std::string& path, std::string message);

    std::string m_section;
    std::vector<DocumentProblem>& m_problems;
};

} // namespace Auburnpost::Config
