//===- Exchange.h - What a handler gets of a request ------------*- C++ -*-===//
#pragma once

#include "Connection.h"

namespace pepperlug
{

/// Takes the request out of the slot. The answer goes to the connection.
HttpExchangePtr makeExchange(std::shared_ptr<Connection> connection, const SlotPtr &slot);

} // namespace pepperlug
