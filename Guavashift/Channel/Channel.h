#pragma once

#include <Guavashift/Channel/EventLoop.h>
#include <Guavashift/Channel/FrameConnection.h>
#include <Guavashift/Channel/FrameListener.h>
