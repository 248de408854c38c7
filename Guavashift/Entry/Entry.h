#pragma once

// Public header of the Entry library: callers' requests and the administration API.

#include <Guavashift/Entry/RequestForwarder.h>
