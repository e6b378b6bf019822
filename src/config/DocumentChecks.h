#pragma once

#include "config/Document.h"
#include "config/DocumentProblem.h"

#include <vector>

namespace Auburnpost::Config {

/// Checks the consistency of a document within and across its sections, and appends the problems found.
void checkDocument(const Document&, std::vector<DocumentProblem>&);

} // namespace Auburnpost::Config
