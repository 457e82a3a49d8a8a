//===- Intake.cpp - What all ports of a process hold from outside ---------===//
#include "IntakeBudget.h"

#include <algorithm>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace pepperlug
{

namespace
{

constexpr std::uint64_t Megabyte = 1000UL * 1000;
/// Of the memory. A request in progress has its body twice, as it was read and as it is sent; the rest is for answers,
/// connections and the program itself.
constexpr double BytesShare = 0.25;
/// Descriptors that are not for sockets.
constexpr std::size_t FileDescriptors = 200;
/// Of the other descriptors one in so many is for callers: a request in progress has a connection to its caller and one
/// to its target.
constexpr std::size_t CallersPart = 2;
constexpr std::size_t LeastConnections = 32;
/// Connections that each port may have whatever the others have.
constexpr std::size_t ConnectionsOfEachPort = 16;
/// One in so many connections is closed at once where there are too many, so that they are not looked through for each
/// new one.
constexpr std::size_t ClosedPart = 32;
/// What a request holds is counted in steps of that size.
constexpr std::uint64_t StepBytes = 4096;
/// Blocks of memory from that size on are given back to the kernel when they are freed.
constexpr int LargeBlockBytes = 128 * 1024;

// The C library raises the size by itself once a larger block was freed. From then on what was held for many large
// bodies stays with the process, in pieces that the next ones may not fit in.
void giveLargeBlocksBack()
{
    static std::once_flag once;
    std::call_once(once, [] { ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes); });
}

std::uint64_t memoryOfMachine()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long size = ::sysconf(_SC_PAGESIZE);
    return static_cast<std::uint64_t>(std::max(pages, 1L)) * static_cast<std::uint64_t>(std::max(size, 1L));
}

std::size_t descriptorsOfProcess()
{
    rlimit limit{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
    return isKnown ? static_cast<std::size_t>(limit.rlim_cur) : 0;
}

} // namespace

IntakeLimits intakeLimits(std::uint64_t memory, std::size_t descriptors)
{
    const std::uint64_t bytes = memory > 0 ? memory * Megabyte : memoryOfMachine();
    const std::size_t all = descriptors > 0 ? descriptors : descriptorsOfProcess();
    const std::size_t forSockets = all - std::min(all, FileDescriptors);
    return {static_cast<std::uint64_t>(static_cast<double>(bytes) * BytesShare),
            std::max(forSockets / CallersPart, LeastConnections)};
}

struct Intake::Impl {
    struct Port {
        std::function<std::vector<SpareableConnection>()> spareable;
        std::size_t connections = 0;
    };

    explicit Impl(const IntakeLimits &it)
        : limits(it)
        , budget(it.bytes)
    {
    }

    std::size_t closeSome(std::size_t atLeast);

    IntakeLimits limits;
    std::mutex portsMutex; ///< a port stays while its connections are looked through; taken before the other one
    mutable std::mutex mutex; ///< guards what follows
    IntakeBudget budget;
    std::unordered_map<std::uint64_t, std::function<void()>> onGivenUp; ///< by id, until the request is whole
    std::map<const void *, Port> ports;
    std::size_t connections = 0; ///< of all ports
};

Intake::Intake(const IntakeLimits &limits)
    : m_impl(std::make_unique<Impl>(limits))
{
    giveLargeBlocksBack();
}

Intake::~Intake() = default;

IntakeShare Intake::begin(TimePoint now, std::function<void()> onGivenUp)
{
    const std::lock_guard lock(m_impl->mutex);
    const IntakeId id = m_impl->budget.add(now);
    m_impl->onGivenUp[static_cast<std::uint64_t>(id)] = std::move(onGivenUp);
    return {shared_from_this(), id};
}

std::uint64_t Intake::heldBytes() const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->budget.heldBytes();
}

bool Intake::hasRoomFor(IntakeId id, std::uint64_t bytes, TimePoint now) const
{
    const std::lock_guard lock(m_impl->mutex);
    return m_impl->budget.hasRoomFor(id, bytes, now);
}

bool Intake::hold(IntakeId id, std::uint64_t bytes, TimePoint now)
{
    std::vector<std::function<void()>> givenUp;
    bool isAdmitted = false;
    {
        const std::lock_guard lock(m_impl->mutex);
        const IntakeBudget::Verdict verdict = m_impl->budget.hold(id, bytes, now);
        isAdmitted = verdict.isAdmitted;
        for (const IntakeId it : verdict.givenUp) {
            if (auto node = m_impl->onGivenUp.extract(static_cast<std::uint64_t>(it))) {
                givenUp.push_back(std::move(node.mapped()));
            }
        }
    }
    for (const auto &it : givenUp) {
        it();
    }
    return isAdmitted;
}

bool Intake::setWhole(IntakeId id)
{
    std::function<void()> dropped;
    const std::lock_guard lock(m_impl->mutex);
    m_impl->budget.setWhole(id);
    auto node = m_impl->onGivenUp.extract(static_cast<std::uint64_t>(id));
    if (node) {
        dropped = std::move(node.mapped());
    }
    return static_cast<bool>(node);
}

void Intake::remove(IntakeId id)
{
    std::function<void()> dropped;
    const std::lock_guard lock(m_impl->mutex);
    m_impl->budget.remove(id);
    if (auto node = m_impl->onGivenUp.extract(static_cast<std::uint64_t>(id))) {
        dropped = std::move(node.mapped());
    }
}

//===-- Connections -----------------------------------------------------------===//

void Intake::addPort(const void *port, std::function<std::vector<SpareableConnection>()> spareable)
{
    const std::scoped_lock lock(m_impl->portsMutex, m_impl->mutex);
    m_impl->ports[port].spareable = std::move(spareable);
}

void Intake::removePort(const void *port)
{
    const std::scoped_lock lock(m_impl->portsMutex, m_impl->mutex);
    if (const auto it = m_impl->ports.find(port); it != m_impl->ports.end()) {
        m_impl->connections -= it->second.connections;
        m_impl->ports.erase(it);
    }
}

bool Intake::addConnection(const void *port)
{
    std::size_t excess = 0;
    bool isReserved = false;
    {
        const std::lock_guard lock(m_impl->mutex);
        const auto it = m_impl->ports.find(port);
        if (it == m_impl->ports.end()) {
            return false;
        }
        ++m_impl->connections;
        isReserved = ++it->second.connections <= ConnectionsOfEachPort;
        excess = m_impl->connections - std::min(m_impl->connections, m_impl->limits.connections);
    }
    return excess == 0 || m_impl->closeSome(excess) > 0 || isReserved;
}

void Intake::removeConnection(const void *port)
{
    const std::lock_guard lock(m_impl->mutex);
    const auto it = m_impl->ports.find(port);
    if (it != m_impl->ports.end() && it->second.connections > 0) {
        --it->second.connections;
        --m_impl->connections;
    }
}

std::size_t Intake::Impl::closeSome(std::size_t atLeast)
{
    const std::lock_guard portsLock(portsMutex);
    std::vector<std::function<std::vector<SpareableConnection>()>> lists;
    {
        const std::lock_guard lock(mutex);
        for (const auto &[key, port] : ports) {
            lists.push_back(port.spareable);
        }
    }
    std::vector<SpareableConnection> all;
    for (const auto &list : lists) {
        std::ranges::move(list(), std::back_inserter(all));
    }
    const std::size_t n = std::min(all.size(), std::max(atLeast, limits.connections / ClosedPart));
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(n);
    std::ranges::partial_sort(all, middle, [](const SpareableConnection &lhs, const SpareableConnection &rhs) {
        return lhs.isIdle != rhs.isIdle ? lhs.isIdle : lhs.activeAt < rhs.activeAt;
    });
    std::for_each(all.begin(), middle, [](const SpareableConnection &it) { it.close(); });
    return n;
}

//===-- IntakeShare -----------------------------------------------------------===//

IntakeShare::IntakeShare(std::shared_ptr<Intake> intake, IntakeId id)
    : m_intake(std::move(intake))
    , m_id(id)
{
}

IntakeShare::IntakeShare(IntakeShare &&other) noexcept
    : m_intake(std::exchange(other.m_intake, nullptr))
    , m_id(other.m_id)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

IntakeShare &IntakeShare::operator=(IntakeShare &&other) noexcept
{
    if (this != &other) {
        release();
        m_intake = std::exchange(other.m_intake, nullptr);
        m_id = other.m_id;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

IntakeShare::~IntakeShare()
{
    release();
}

bool IntakeShare::hasRoomFor(std::uint64_t bytes, TimePoint now) const
{
    return !m_intake || bytes <= m_bytes || m_intake->hasRoomFor(m_id, bytes, now);
}

bool IntakeShare::hold(std::uint64_t bytes, const Clock &clock)
{
    const std::uint64_t steps = (bytes + StepBytes - 1) / StepBytes * StepBytes;
    if (!m_intake || steps == m_bytes) {
        return true;
    }
    if (!m_intake->hold(m_id, steps, clock.now())) {
        return false;
    }
    m_bytes = steps;
    return true;
}

bool IntakeShare::setWhole()
{
    return !m_intake || m_intake->setWhole(m_id);
}

void IntakeShare::release()
{
    if (const auto intake = std::exchange(m_intake, nullptr)) {
        intake->remove(m_id);
        m_bytes = 0;
    }
}

} // namespace pepperlug
