#pragma once

#include <Guavashift/Configuration/Document.h>

namespace guavashift {

/// Reads and checks a whole configuration. Reports every error with its JSON Pointer.
tl::expected<ConfigurationDocument, Findings> readDocument(const Json &json);

} // namespace guavashift
