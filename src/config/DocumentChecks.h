#pragma once

#include "config/Document.h"
#include "config/DocumentProblem.h"

#include <vector>

namespace Auburnpost::Config {

/// Checks what must hold between the parts of a document, within and across its sections.
void checkDocument(const Document&, std::vector<DocumentProblem>&);

} // namespace Auburnpost::Config
