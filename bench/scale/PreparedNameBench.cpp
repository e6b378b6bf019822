#include "scale/Benches.h"

#include "proxy/PreparedName.h"

#include <chrono>
#include <cstdio>

namespace Auburnpost::Bench {

void benchPreparedNames()
{
    using Clock = std::chrono::steady_clock;
    constexpr std::size_t sizes[] { 100, 16UL * 1024, 1024UL * 1024 };
    std::printf("names of prepared statements, mean time of one\n%12s %12s\n", "text, bytes", "us");
    for (const auto size : sizes) {
        const Session::PreparedShape shape { Session::Access::Read, std::string(size, 'q') };
        // Long enough for a mean that the clock's resolution does not affect.
        constexpr std::chrono::milliseconds length { 200 };
        std::size_t count = 0;
        std::size_t characters = 0;
        const auto start = Clock::now();
        while (Clock::now() - start < length) {
            characters += Proxy::PreparedName::of(shape).toString().size();
            ++count;
        }
        const std::chrono::duration<double, std::micro> spent = Clock::now() - start;
        std::printf("%12zu %12.2f\n", size, characters == 0 ? 0 : spent.count() / static_cast<double>(count));
    }
}

} // namespace Auburnpost::Bench
