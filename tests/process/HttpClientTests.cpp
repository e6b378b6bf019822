#include "process/HostCheck.h"
#include "process/HttpSite.h"

using namespace Auburnpost::Test;
using namespace std::chrono_literals;

namespace {

/// Limits of the smallest host that these tests assume. A host of this interface has no setting for its descriptors,
/// so the bound is one for each caller and as many as the process needs besides.
constexpr int memoryMb = 64;
constexpr std::size_t descriptors = HttpSite::callerLimit + 100;
constexpr std::size_t members = 150;
constexpr std::size_t largeBytes = 900UL * 1024;
constexpr std::size_t excessBytes = 8UL * 1024 * 1024;

std::shared_ptr<const std::string> shared(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string largeRequest()
{
    return HttpSite::request("SELECT length($1)", std::string(largeBytes, 'x'));
}

std::string repeated(const std::string& message, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += message;
    return text;
}

/// A statement whose answer has 1 MiB.
constexpr auto largeAnswer = "SELECT hex(zeroblob(524288)), $1";

} // namespace

TEST_CASE("Many large legal requests at once do not exhaust the memory of an HTTP host", "[http-legal]")
{
    const HttpSite site(memoryMb);
    SECTION("sent whole")
    {
        Crowd crowd(site.port(), members, { shared(largeRequest()) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("sent in pieces of one byte")
    {
        constexpr std::size_t bytes = 32UL * 1024;
        Crowd crowd(
            site.port(), 20, { shared(HttpSite::request("SELECT length($1)", std::string(bytes, 'x'))), true, 1 });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Requests above the limits do not exhaust the memory of an HTTP host", "[http-excess]")
{
    const HttpSite site(memoryMb);
    SECTION("with a large body")
    {
        Crowd crowd(site.port(), members, { shared(HttpSite::request("SELECT $1", std::string(excessBytes, 'x'))) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("with a header that does not end")
    {
        Crowd crowd(site.port(), members,
            { shared("POST / HTTP/1.1\r\nHost: test\r\nX-Padding: " + std::string(excessBytes, 'x')) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Pipelined requests whose answers are not read do not exhaust the memory of an HTTP host", "[http-pipeline]")
{
    const HttpSite site(memoryMb);
    const auto text = shared(repeated(HttpSite::request("SELECT $1", "value"), 4UL * 1024 * 1024));
    SECTION("on one connection")
    {
        Crowd crowd(site.port(), 1, { text, false });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("on many connections")
    {
        Crowd crowd(site.port(), members, { text, false });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Large answers that nobody reads do not exhaust the memory of an HTTP host", "[http-answers]")
{
    const HttpSite site(memoryMb);
    Crowd crowd(site.port(), members, { shared(repeated(HttpSite::request(largeAnswer, "value"), 4096)), false });
    checkHost(site, crowd, memoryMb, descriptors);
}

TEST_CASE("Connections that make little or no progress do not exhaust an HTTP host", "[http-slow]")
{
    const HttpSite site(memoryMb);
    const auto request = largeRequest();
    const auto half = request.substr(0, request.size() / 2);
    SECTION("stopped midway through a request")
    {
        Crowd crowd(site.port(), members, { shared(half) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("sending slowly")
    {
        Crowd crowd(site.port(), members, { shared(request), true, 16, 50ms });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("reading slowly")
    {
        Crowd crowd(site.port(), members, { shared(HttpSite::request(largeAnswer, "value")), true, 64, 50ms });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("stopped after the first answer")
    {
        Crowd crowd(site.port(), members, { shared(HttpSite::request("SELECT $1", "value")) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Connections that are opened and left do not exhaust the descriptors of an HTTP host", "[http-descriptors]")
{
    const HttpSite site(memoryMb);
    Crowd crowd(site.port(), 3 * HttpSite::callerLimit, { shared("") });
    checkHost(site, crowd, memoryMb, descriptors);
}
