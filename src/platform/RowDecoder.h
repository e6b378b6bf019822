#pragma once

#include "proxy/RowReader.h"

namespace Auburnpost::Platform {

/// Decodes the JSON of the operators' configuration and of the targets' records.
class RowDecoder final : public Proxy::RowReader {
public:
    [[nodiscard]] Expected<std::optional<Proxy::Catalog>> readCatalog(const Proxy::StoreRow&) const override;
    [[nodiscard]] Expected<Proxy::TargetRecord> readTarget(const Proxy::StoreRow&) const override;
};

} // namespace Auburnpost::Platform
