//===- SocketLoop.cpp - Waits for the sockets of a libcurl multi handle ---===//
#include "SocketLoop.h"

#include <cerrno>
#include <cstring>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace pepperlug
{

namespace
{

constexpr int MaxEvents = 64;
/// Marks a socket that epoll knows already; any address will do.
char knownMark;

[[noreturn]] void fail()
{
    throw Error("start client", "", std::strerror(errno));
}

} // namespace

SocketLoop::SocketLoop(CURLM *multi)
    : m_multi(multi)
{
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_event = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (m_epoll < 0 || m_event < 0) {
        fail();
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_event;
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_event, &event) != 0) {
        fail();
    }
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &SocketLoop::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &SocketLoop::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
}

SocketLoop::~SocketLoop()
{
    close(m_event);
    close(m_epoll);
}

int SocketLoop::onSocket(CURL *, curl_socket_t socket, int what, void *self, void *known)
{
    static_cast<SocketLoop *>(self)->watch(socket, what, known != nullptr);
    return 0;
}

int SocketLoop::onTimer(CURLM *, long timeoutMs, void *self)
{
    auto *loop = static_cast<SocketLoop *>(self);
    loop->m_due =
        timeoutMs < 0 ? std::nullopt : std::optional(std::chrono::steady_clock::now() + Milliseconds(timeoutMs));
    return 0;
}

void SocketLoop::watch(curl_socket_t socket, int what, bool isKnown)
{
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        curl_multi_assign(m_multi, socket, nullptr);
        return;
    }
    epoll_event event{};
    event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
    event.data.fd = socket;
    // A number that was closed without a word to us is new to epoll again.
    if (epoll_ctl(m_epoll, isKnown ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, socket, &event) != 0) {
        epoll_ctl(m_epoll, isKnown ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
    }
    curl_multi_assign(m_multi, socket, &knownMark);
}

void SocketLoop::watchReadable(int descriptor, std::function<void()> handler)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    if (epoll_ctl(m_epoll, EPOLL_CTL_ADD, descriptor, &event) != 0) {
        fail();
    }
    m_others[descriptor] = std::move(handler);
}

int SocketLoop::waitTime(std::optional<Milliseconds> maxWait) const
{
    std::optional<Milliseconds> wait = maxWait;
    if (m_due) {
        const auto left = std::chrono::ceil<Milliseconds>(*m_due - std::chrono::steady_clock::now());
        wait = std::max(Milliseconds(0), wait ? std::min(*wait, left) : left);
    }
    return wait ? static_cast<int>(wait->count()) : -1;
}

void SocketLoop::runOnce(std::optional<Milliseconds> maxWait)
{
    std::array<epoll_event, MaxEvents> events{};
    const int count = epoll_wait(m_epoll, events.data(), MaxEvents, waitTime(maxWait));
    int running = 0;
    for (int n = 0; n < count; ++n) {
        const epoll_event &event = events[static_cast<std::size_t>(n)];
        if (event.data.fd == m_event) {
            std::uint64_t wakes = 0;
            [[maybe_unused]] const ssize_t size = read(m_event, &wakes, sizeof wakes);
            continue;
        }
        if (const auto other = m_others.find(event.data.fd); other != m_others.end()) {
            other->second();
            continue;
        }
        int flags = (event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
        flags |= (event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
        flags |= (event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
        curl_multi_socket_action(m_multi, event.data.fd, flags, &running);
    }
    if (m_due && std::chrono::steady_clock::now() >= *m_due) {
        m_due.reset();
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void SocketLoop::wake()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t size = write(m_event, &one, sizeof one);
}

} // namespace pepperlug
