#include "process/HostCheck.h"
#include "process/LineSite.h"

using namespace Auburnpost::Test;
using namespace std::chrono_literals;

namespace {

/// Memory and descriptors of the smallest host that these tests assume.
constexpr int memoryMb = 64;
constexpr int descriptors = 1000;
/// With 1,000 descriptors a host accepts 208 callers.
constexpr std::size_t callersAboveLimit = 250;
constexpr std::size_t largeBytes = 900UL * 1024;
const std::string handshake = "START orders key\r\n";

std::shared_ptr<const std::string> shared(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string largeWrite()
{
    return "QUERY 1 WRITE item " + std::string(largeBytes, 'x') + "\r\n";
}

std::string repeated(const std::string& message, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += message;
    return text;
}

} // namespace

TEST_CASE("Many large legal messages at once do not exhaust the memory of a host", "[legal]")
{
    const LineSite site(memoryMb, descriptors);
    SECTION("sent whole")
    {
        Crowd crowd(site.port(), 150, { shared(handshake + largeWrite()) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("sent in pieces of one byte")
    {
        constexpr std::size_t bytes = 32UL * 1024;
        Crowd crowd(
            site.port(), 20, { shared(handshake + "QUERY 1 WRITE item " + std::string(bytes, 'x') + "\r\n"), true, 1 });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Messages above the length limit do not exhaust the memory of a host", "[excess]")
{
    constexpr std::size_t excessBytes = 8UL * 1024 * 1024;
    const LineSite site(memoryMb, descriptors);
    SECTION("as statements")
    {
        Crowd crowd(site.port(), 150, { shared(handshake + "QUERY 1 WRITE item " + std::string(excessBytes, 'x')) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("as the first message")
    {
        Crowd crowd(site.port(), 150, { shared("START " + std::string(excessBytes, 'x')) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Pipelined messages whose answers are not read do not exhaust the memory of a host", "[pipeline]")
{
    const LineSite site(memoryMb, descriptors);
    const auto text = shared(handshake + repeated("QUERY 1 READ item\r\n", 4UL * 1024 * 1024));
    SECTION("on one connection")
    {
        Crowd crowd(site.port(), 1, { text, false });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("on many connections")
    {
        Crowd crowd(site.port(), 150, { text, false });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Large answers that nobody reads do not exhaust the memory of a host", "[answers]")
{
    const LineSite site(memoryMb, descriptors);
    Crowd crowd(site.port(), 150, { shared(handshake + repeated("QUERY 1 READ large\r\n", 100)), false });
    checkHost(site, crowd, memoryMb, descriptors);
}

TEST_CASE("Connections that make little or no progress do not exhaust a host", "[slow]")
{
    const LineSite site(memoryMb, descriptors);
    const auto half = handshake + "QUERY 1 WRITE item " + std::string(largeBytes / 2, 'x');
    SECTION("stopped midway through a message")
    {
        Crowd crowd(site.port(), callersAboveLimit, { shared(half) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("sending slowly")
    {
        Crowd crowd(site.port(), callersAboveLimit, { shared(half + largeWrite()), true, 16, 50ms });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("reading slowly")
    {
        Crowd crowd(site.port(), callersAboveLimit, { shared(handshake + "QUERY 1 READ large\r\n"), true, 64, 50ms });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("stopped inside a transaction")
    {
        Crowd crowd(site.port(), callersAboveLimit, { shared(handshake + "QUERY 1 BEGIN\r\nQUERY 2 READ item\r\n") });
        checkHost(site, crowd, memoryMb, descriptors);
    }
    SECTION("stopped after the handshake")
    {
        Crowd crowd(site.port(), callersAboveLimit, { shared(handshake) });
        checkHost(site, crowd, memoryMb, descriptors);
    }
}

TEST_CASE("Connections that are opened and left do not exhaust the descriptors of a host", "[descriptors]")
{
    const LineSite site(memoryMb, descriptors);
    Crowd crowd(site.port(), 500, { shared("") });
    checkHost(site, crowd, memoryMb, descriptors);
}
