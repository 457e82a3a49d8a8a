//===- ControlWatch.cpp - Long polling of control hosts -------------------===//
#include "ControlWatchImpl.h"

namespace pepperlug::fleet
{

template class BasicControlWatch<PeerNet>;

} // namespace pepperlug::fleet
