#pragma once

namespace Auburnpost::Config {

/// Path of the row that holds the operators' document.
inline constexpr auto documentRowPath = "/table/config/document";
/// Path of the row list, which contains the row's version without its value.
inline constexpr auto documentTablePath = "/table/config";
/// Name of the document's row in that list.
inline constexpr auto documentRowName = "document";

} // namespace Auburnpost::Config
