#include "target/StatementKind.h"

#include "target/GroupCall.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace Auburnpost::Standin {

namespace {

    // Returns the words in upper case, separated by single spaces and without semicolons.
    std::string normalise(const std::string& sql)
    {
        std::string text = sql;
        std::replace(text.begin(), text.end(), ';', ' ');
        std::istringstream words(text);
        std::string result;
        for (std::string word; words >> word;) {
            std::transform(word.begin(), word.end(), word.begin(), [](unsigned char c) { return std::toupper(c); });
            result += (result.empty() ? "" : " ") + word;
        }
        return result;
    }

    struct Form {
        const char* text;
        StatementKind kind;
    };

    constexpr std::array forms {
        Form { "", StatementKind::Empty },
        Form { "BEGIN", StatementKind::Begin },
        Form { "BEGIN TRANSACTION", StatementKind::Begin },
        Form { "BEGIN READ WRITE", StatementKind::Begin },
        Form { "START TRANSACTION", StatementKind::Begin },
        Form { "BEGIN READ ONLY", StatementKind::BeginReadOnly },
        Form { "BEGIN TRANSACTION READ ONLY", StatementKind::BeginReadOnly },
        Form { "START TRANSACTION READ ONLY", StatementKind::BeginReadOnly },
        Form { "SET TRANSACTION READ ONLY", StatementKind::SetReadOnly },
        Form { "COMMIT", StatementKind::Commit },
        Form { "END", StatementKind::Commit },
        Form { "ROLLBACK", StatementKind::Rollback },
        Form { "ABORT", StatementKind::Rollback },
        Form { "DISCARD ALL", StatementKind::Discard },
        Form { "RESET ALL", StatementKind::Discard },
    };

    constexpr std::size_t maxFormLength = 40;

} // namespace

StatementKind classify(const std::string& sql)
{
    if (isGroupCall(sql))
        return StatementKind::Group;
    const auto text = normalise(sql.substr(0, maxFormLength));
    const auto* const found
        = std::find_if(forms.begin(), forms.end(), [&](const Form& form) { return text == form.text; });
    return found == forms.end() || sql.size() > maxFormLength ? StatementKind::Sql : found->kind;
}

} // namespace Auburnpost::Standin
