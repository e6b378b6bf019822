#pragma once

#include "proxy/RowReader.h"

namespace Auburnpost::Platform {

/// Replaces the keys of organisations by their digests in the operators' configuration, so that no key is kept in
/// memory, given to a peer or written to a dump. Text that is not JSON is replaced, so that readCatalog() rejects it.
void redactKeys(Proxy::StorePage&);

/// Decodes the JSON of the operators' configuration and of the targets' records.
class RowDecoder final : public Proxy::RowReader {
public:
    [[nodiscard]] Expected<std::optional<Proxy::Catalog>> readCatalog(const Proxy::StoreRow&) const override;
    [[nodiscard]] Expected<Proxy::TargetRecord> readTarget(const Proxy::StoreRow&) const override;
};

} // namespace Auburnpost::Platform
