//===- WriteLoop.cpp - Waits for sockets to take more bytes ---------------===//
#include "WriteLoop.h"

#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace pepperlug
{

namespace
{

constexpr int MaxEvents = 32;
/// Of the event that ends the loop; waits are numbered from 1.
constexpr std::uint64_t StopMark = 0;

[[noreturn]] void fail()
{
    throw Error("watch socket", "", std::strerror(errno));
}

void addTo(int epoll, int socket, std::uint32_t events, std::uint64_t mark)
{
    epoll_event event{};
    event.events = events;
    event.data.u64 = mark;
    if (epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event) != 0) {
        fail();
    }
}

} // namespace

WriteLoop::~WriteLoop()
{
    if (!m_thread.joinable()) {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t size = write(m_stopEvent, &one, sizeof one);
    m_thread.join();
    for (const auto &[id, watch] : m_watches) {
        close(watch.socket);
    }
    close(m_stopEvent);
    close(m_epoll);
}

void WriteLoop::startLocked()
{
    if (m_thread.joinable()) {
        return;
    }
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_stopEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (m_epoll < 0 || m_stopEvent < 0) {
        fail();
    }
    addTo(m_epoll, m_stopEvent, EPOLLIN, StopMark);
    m_thread = std::thread([this] { run(); });
}

WatchId WriteLoop::watch(int socket, std::function<void()> handler)
{
    const std::lock_guard lock(m_mutex);
    startLocked();
    const int copy = dup(socket);
    if (copy < 0) {
        fail();
    }
    const auto id = static_cast<WatchId>(++m_lastId);
    m_watches[id] = {copy, std::move(handler)};
    addTo(m_epoll, copy, EPOLLOUT | EPOLLONESHOT, m_lastId);
    return id;
}

void WriteLoop::forget(WatchId id)
{
    const std::lock_guard lock(m_mutex);
    takeLocked(id);
}

std::function<void()> WriteLoop::takeLocked(WatchId id)
{
    const auto it = m_watches.find(id);
    if (it == m_watches.end()) {
        return nullptr;
    }
    std::function<void()> handler = std::move(it->second.handler);
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, it->second.socket, nullptr);
    close(it->second.socket);
    m_watches.erase(it);
    return handler;
}

void WriteLoop::run()
{
    std::array<epoll_event, MaxEvents> events{};
    for (;;) {
        const int count = epoll_wait(m_epoll, events.data(), MaxEvents, -1);
        for (int n = 0; n < count; ++n) {
            const std::uint64_t mark = events[static_cast<std::size_t>(n)].data.u64;
            if (mark == StopMark) {
                return;
            }
            std::function<void()> handler;
            {
                const std::lock_guard lock(m_mutex);
                handler = takeLocked(static_cast<WatchId>(mark));
            }
            if (handler) {
                handler();
            }
        }
    }
}

} // namespace pepperlug
