#pragma once

namespace Auburnpost {

/// Runs the subcommand that the arguments name.
/// @return the exit status: 0 for success, 1 for a failure, 2 for a usage error or invalid settings.
int runCommandLine(int argumentCount, char** arguments);

} // namespace Auburnpost
