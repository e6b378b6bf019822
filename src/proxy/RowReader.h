#pragma once

#include "base/Expected.h"
#include "proxy/Catalog.h"
#include "proxy/StoreTable.h"
#include "proxy/TargetRecord.h"

#include <optional>

namespace Auburnpost::Proxy {

/// Decodes the rows that the operators and the targets write.
class RowReader {
public:
    virtual ~RowReader() = default;
    /// @return the configuration; nothing for a row that holds none; an error for one that can't be read.
    [[nodiscard]] virtual Expected<std::optional<Catalog>> readCatalog(const StoreRow&) const = 0;
    /// @return the target, or an error for a record that names none.
    [[nodiscard]] virtual Expected<TargetRecord> readTarget(const StoreRow&) const = 0;
};

} // namespace Auburnpost::Proxy
