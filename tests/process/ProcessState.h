#pragma once

#include <cstddef>
#include <sys/types.h>

namespace Auburnpost::Test {

/// @return whether the process runs; a zombie does not.
bool isRunning(pid_t);
/// @return the peak of the resident memory of the process, in KiB; 0 for a process that does not run.
std::size_t peakMemoryKb(pid_t);
/// @return the number of open descriptors of the process.
std::size_t openDescriptors(pid_t);

} // namespace Auburnpost::Test
