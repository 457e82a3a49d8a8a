//===- Signals.cpp - Stop signals and small waits -------------------------===//
#include "pepperlug/Daemon.h"

#include <csignal>
#include <future>

namespace pepperlug
{

namespace
{

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void blockStopSignals()
{
    const sigset_t set = stopSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
}

void blockDaemonSignals()
{
    blockStopSignals();
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

DaemonSignal waitForSignal()
{
    sigset_t set = stopSignals();
    sigaddset(&set, SIGHUP);
    int signal = 0;
    sigwait(&set, &signal);
    return signal == SIGHUP ? DaemonSignal::Reload : DaemonSignal::Stop;
}

HttpResult fetch(HttpClient &client, HttpCall call)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    std::future<HttpResult> result = promise->get_future();
    client.start(std::move(call), [promise](HttpResult it) { promise->set_value(std::move(it)); });
    return result.get();
}

} // namespace pepperlug
