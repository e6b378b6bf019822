#pragma once

namespace Auburnpost {

/// Runs the subcommand that the arguments name.
/// @return the exit status: 0 for success, 1 for a failure, 2 for wrong use or settings.
int runCommandLine(int argumentCount, char** arguments);

} // namespace Auburnpost
