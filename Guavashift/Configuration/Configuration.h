#pragma once

// Public header of the Configuration library: the typed document, its checks, and patches.

#include <Guavashift/Configuration/Document.h>
#include <Guavashift/Configuration/DocumentReader.h>
#include <Guavashift/Configuration/VersionedDocument.h>
