//===- MetricsServer.h - Metrics of a process over HTTP ---------*- C++ -*-===//
#pragma once

#include "../Daemon/HttpStatus.h"
#include "pepperlug/Http.h"

namespace pepperlug::fleet
{

/// Serves /metrics; the metrics must outlive the server.
inline std::unique_ptr<HttpServer> serveMetrics(const Address &address, const Metrics &metrics, const Clock &clock,
                                                std::shared_ptr<Intake> intake)
{
    const auto handler = [&metrics](const HttpExchangePtr &exchange) {
        if (exchange->request().path() != "/metrics") {
            exchange->respond(jsonAnswer(NotFound, {{"reason", "no such page"}}));
            return;
        }
        exchange->respond({Ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics.text()});
    };
    return std::make_unique<HttpServer>(address, 1, HttpLimits{}, clock, handler, std::move(intake));
}

} // namespace pepperlug::fleet
