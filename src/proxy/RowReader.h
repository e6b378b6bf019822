#pragma once

#include "base/Expected.h"
#include "proxy/Catalog.h"
#include "proxy/StoreTable.h"
#include "proxy/TargetRecord.h"

#include <optional>

namespace Auburnpost::Proxy {

/// Decodes rows written by operators and targets.
class RowReader {
public:
    virtual ~RowReader() = default;
    /// @return the configuration; empty for a row without a configuration; an error for one that can't be decoded.
    [[nodiscard]] virtual Expected<std::optional<Catalog>> readCatalog(const StoreRow&) const = 0;
    /// @return the target's record, or an error for a row that can't be decoded.
    [[nodiscard]] virtual Expected<TargetRecord> readTarget(const StoreRow&) const = 0;
};

} // namespace Auburnpost::Proxy
