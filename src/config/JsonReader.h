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

/// A value of the document and its path inside its section.
struct JsonPlace {
    const Json* value;
    /// JSON pointer.
    std::string path;
};

/// Typed access to the values of one section; what does not fit is reported, and read as nothing.
class JsonReader {
public:
    /// @param problems receives each fault.
    JsonReader(std::string section, std::vector<DocumentProblem>& problems);

    void error(const std::string& path, std::string message);
    void warn(const std::string& path, std::string message);

    /// @return the members of an object; none when the value is no object.
    std::vector<std::pair<std::string, JsonPlace>> members(const JsonPlace&);
    /// @return the elements of an array; none when the value is no array.
    std::vector<JsonPlace> elements(const JsonPlace&);
    /// @return the member of that name, if the value is an object that has it.
    std::optional<JsonPlace> find(const JsonPlace&, const std::string& name);
    /// The same, with a problem when it is absent.
    std::optional<JsonPlace> require(const JsonPlace&, const std::string& name);
    /// Reports each member of an object that is not among @p names.
    void rejectOthers(const JsonPlace&, std::initializer_list<std::string_view> names);

    /// @return a name of letters, digits, '-', '_' and '.'.
    std::optional<std::string> name(const JsonPlace&);
    /// Reports @p text where it is no name.
    bool isName(const std::string& path, std::string_view text);
    std::optional<std::string> text(const JsonPlace&);
    std::optional<SocketAddress> address(const JsonPlace&);
    /// @return a whole number above zero.
    std::optional<unsigned> count(const JsonPlace&);
    /// @return an age given in whole milliseconds, zero included.
    std::optional<Duration> age(const JsonPlace&);

private:
    void report(ProblemSeverity, const std::string& path, std::string message);

    std::string m_section;
    std::vector<DocumentProblem>& m_problems;
};

} // namespace Auburnpost::Config
