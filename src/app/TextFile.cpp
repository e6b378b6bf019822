#include "app/TextFile.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>

namespace Auburnpost {

namespace {

    std::string readAll(std::istream& stream)
    {
        return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    }

} // namespace

Expected<std::string> readTextFile(const std::string& path)
{
    if (path == "-")
        return readAll(std::cin);
    errno = 0;
    std::ifstream file(path);
    if (!file)
        return fail(ErrorCode::BadRequest, "open file", path, std::strerror(errno));
    auto text = readAll(file);
    if (file.bad() || errno == EISDIR)
        return fail(ErrorCode::BadRequest, "read file", path, std::strerror(errno));
    return text;
}

} // namespace Auburnpost
