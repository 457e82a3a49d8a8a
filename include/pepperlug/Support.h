//===- pepperlug/Support.h - Ids, clock, errors, logs, metrics ---*- C++ -*-===//
//
// The base that every other library stands on: typed ids, time, the error type,
// the two log sinks, counters and latency summaries, and a checked JSON reader.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace pepperlug
{

/// A point on the clock that is passed in. Steady: never set back.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using Duration = std::chrono::nanoseconds;

inline double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

using Milliseconds = std::chrono::milliseconds;

/// Source of time. Daemons use SteadyClock, tests use ManualClock.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Current steady time.
    virtual TimePoint now() const = 0;
    /// Current wall-clock time in whole milliseconds since the epoch, for signatures and log lines only.
    virtual Milliseconds wallTime() const = 0;
};

class SteadyClock final : public Clock
{
public:
    TimePoint now() const override;
    Milliseconds wallTime() const override;
};

/// A clock that moves only when told to.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    Milliseconds wallTime() const override;
    void advance(Duration by);

private:
    std::atomic<Duration::rep> m_now{0}; ///< may be read while a test moves it
};

enum class RegionId : std::uint32_t {};
enum class ZoneId : std::uint32_t {};
enum class HostId : std::uint32_t {};
enum class ServiceId : std::uint32_t {};
enum class TargetId : std::uint32_t {};
enum class RequestId : std::uint64_t {};

/// Position of an id in the vector that it indexes.
template <typename Id>
constexpr std::size_t idx(Id id)
{
    return static_cast<std::size_t>(id);
}

template <typename Id>
constexpr Id makeId(std::size_t n)
{
    return static_cast<Id>(n);
}

/// An error that carries the step at which it arose and the peer that it concerns (empty for none).
class Error : public std::runtime_error
{
public:
    Error(std::string step, std::string peer, const std::string &reason);
    const std::string &step() const;
    const std::string &peer() const;
    const std::string &reason() const;

private:
    std::string m_step;
    std::string m_peer;
    std::string m_reason;
};

/// One fault found in a settings file or a bundle.
struct Finding {
    std::string file;
    std::string path;
    std::string reason;

    std::string text() const;
};
using Findings = std::vector<Finding>;

/// Thrown with all findings at once; what() holds one line for each.
class InvalidInput : public Error
{
public:
    explicit InvalidInput(Findings findings);
    const Findings &findings() const;

private:
    Findings m_findings;
};

/// Parses JSON with comments; a repeated key or a syntax error is thrown as InvalidInput.
nlohmann::json parseJson(const std::string &text, const std::string &file);

/// Reads a whole file; throws Error with step "read file".
std::string readFile(const std::string &file);

/// An IP address and port. Names are not resolved anywhere in the system.
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    /// Parses "1.2.3.4:80" or "[::1]:80"; nothing if it is not that.
    static std::optional<Address> parse(const std::string &text);
    std::string text() const;
    bool operator==(const Address &) const = default;
    auto operator<=>(const Address &) const = default; // NOLINT(modernize-use-nullptr): the check misreads this line
};

/// Reads one JSON object member by member and notes each fault instead of stopping at the first.
class ObjectReader
{
public:
    ObjectReader(const nlohmann::json &value, std::string path, std::string file, Findings &findings);

    /// Required text; empty text is a finding.
    std::string text(const std::string &key);
    std::string textOr(const std::string &key, const std::string &fallback);
    /// Whole number within [low, high]; without a fallback the key is required.
    std::int64_t integer(const std::string &key, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = std::nullopt);
    double number(const std::string &key, double low, double high, std::optional<double> fallback = std::nullopt);
    bool boolean(const std::string &key, bool fallback);
    /// Reader for one nested object; nothing, and a finding if required, where it is missing.
    std::optional<ObjectReader> object(const std::string &key, bool required = true);
    /// Readers for the objects of an array; a missing array is a finding unless optional.
    std::vector<ObjectReader> objects(const std::string &key, bool required = true);
    std::vector<std::string> texts(const std::string &key, bool required = true);
    /// Required; the empty address, and a finding, where there is none.
    Address address(const std::string &key);
    /// Notes every key that no call above has asked for.
    void finish();
    void fault(const std::string &key, const std::string &reason);
    bool has(const std::string &key) const;
    const std::string &path() const;

private:
    const nlohmann::json *find(const std::string &key, bool required);

    const nlohmann::json *m_value;
    std::string m_path;
    std::string m_file;
    Findings *m_findings;
    std::vector<std::string> m_seen;
};

struct HeaderField {
    std::string name;
    std::string value;
    bool operator==(const HeaderField &) const = default;
};

/// A whole HTTP answer. The body is never cut: an answer that can't be had whole is an error instead.
struct Answer {
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
};
using AnswerPtr = std::shared_ptr<const Answer>;

/// From here on an answer is large: it is passed on while it arrives, and minded on the host's link.
constexpr std::uint64_t LargeAnswerBytes = 16 * 1024;

/// Writes lines to one file through easylogging++ from a thread of its own. When the queue is full the line is
/// dropped and counted, so that a slow disk never holds up a request.
class LogSink
{
public:
    /// Throws Error if the file can't be opened. "-" is standard output; an empty path gives a sink that drops all
    /// without counting.
    LogSink(const std::string &name, const std::string &file, std::size_t capacity = 65536);
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    void write(std::string line);
    /// Queues work that makes the line, so that its formatting is done on the sink's thread too.
    void writeLater(std::function<std::string()> make);
    std::uint64_t dropped() const;
    bool enabled() const;
    /// Waits until all lines are written, or until the time has passed; a process that exits without loses the last
    /// ones.
    void flush(Duration atMost);

private:
    void run();

    std::string m_name;
    std::size_t m_capacity;
    bool m_enabled;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::function<std::string()>> m_queue;
    std::condition_variable m_idle;
    bool m_sleeping = false;
    bool m_isWriting = false;
    bool m_isFlushing = false; ///< lines are written without being gathered first
    bool m_stop = false;
    std::atomic<std::uint64_t> m_dropped{0};
    std::thread m_thread;
};

//===-- What arrives from outside ----------------------------------------------===//

enum class IntakeId : std::uint64_t {};

/// What a process takes from outside at most, over all of its ports.
struct IntakeLimits {
    std::uint64_t bytes = 0; ///< of requests that arrive or are in progress
    std::size_t connections = 0; ///< of callers
};
/// Limits for a machine. `memory` in MB; 0 stands for what the machine and the process have.
IntakeLimits intakeLimits(std::uint64_t memory, std::size_t descriptors);

class Intake;

/// What one request holds, from its first byte until it is not needed any more. Safe to use from one thread at a time.
class IntakeShare
{
public:
    IntakeShare() = default;
    IntakeShare(std::shared_ptr<Intake> intake, IntakeId id);
    IntakeShare(IntakeShare &&other) noexcept;
    IntakeShare &operator=(IntakeShare &&other) noexcept;
    ~IntakeShare();

    /// Returns whether that many bytes in all have room, or could get it.
    bool hasRoomFor(std::uint64_t bytes, TimePoint now) const;
    /// Sets how many bytes are held. Returns false if there is no room; then as many as before are held.
    bool hold(std::uint64_t bytes, const Clock &clock);
    /// From now on the request is not given up. Returns false if it has been.
    bool setWhole();
    void release();
    explicit operator bool() const
    {
        return m_intake != nullptr;
    }

private:
    std::shared_ptr<Intake> m_intake;
    IntakeId m_id{};
    std::uint64_t m_bytes = 0;
};

/// A connection that may be closed without harm to a request that was read.
struct SpareableConnection {
    bool isIdle = false; ///< between requests; otherwise part of one has arrived
    TimePoint activeAt{};
    std::function<void()> close;
};

/// All that a process holds of what arrives from outside. Safe to use from all threads.
class Intake : public std::enable_shared_from_this<Intake>
{
public:
    explicit Intake(const IntakeLimits &limits);
    ~Intake();
    Intake(const Intake &) = delete;
    Intake &operator=(const Intake &) = delete;

    /// `onGivenUp` is called at most once, on any thread, when others need the room of the request before it is whole.
    /// It must not wait.
    IntakeShare begin(TimePoint now, std::function<void()> onGivenUp);
    std::uint64_t heldBytes() const;

    /// Adds a port, and how its connections that may be closed are found. The function must not wait.
    void addPort(const void *port, std::function<std::vector<SpareableConnection>()> spareable);
    void removePort(const void *port);
    /// Adds a connection at a port. Where there are too many, idle ones are closed, the one that is idle for longest
    /// first, then those within a request. Returns false if there is none and the new one has to be closed.
    bool addConnection(const void *port);
    void removeConnection(const void *port);

private:
    friend class IntakeShare;
    struct Impl;

    bool hold(IntakeId id, std::uint64_t bytes, TimePoint now);
    bool hasRoomFor(IntakeId id, std::uint64_t bytes, TimePoint now) const;
    bool setWhole(IntakeId id);
    void remove(IntakeId id);

    std::unique_ptr<Impl> m_impl;
};

/// When a planned stop ends.
struct StopTimes {
    TimePoint lastAnswerAt{}; ///< answers have to be whole by then
    TimePoint exitAt{}; ///< of the process, even if work is left
};

/// `gracePeriod`: from the signal until the process is killed.
StopTimes stopTimes(TimePoint startedAt, Duration gracePeriod);

/// Counters and latency summaries (Boost.Accumulators), written in the Prometheus text format.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    void count(const std::string &name, std::uint64_t by = 1);
    void gauge(const std::string &name, double value);
    /// Adds one latency to the summary; reported in seconds.
    void latency(const std::string &name, Duration value);
    std::string text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

/// 64-bit hash (xxHash) of a text, the same on every host.
/// What arrives a second, as a mean that fades.
class ArrivalRate
{
public:
    explicit ArrivalRate(std::chrono::duration<double> timeConstant = std::chrono::seconds(2))
        : m_timeConstant(timeConstant)
    {
    }

    void add(TimePoint now, double amount)
    {
        fade(now);
        m_amount += amount;
    }

    double perSecond(TimePoint now) const
    {
        ArrivalRate faded = *this;
        faded.fade(now);
        return faded.m_amount / m_timeConstant.count();
    }

private:
    void fade(TimePoint now)
    {
        const std::chrono::duration<double> passed = now - m_at;
        m_amount *= std::exp(-passed / m_timeConstant);
        m_at = now;
    }

    std::chrono::duration<double> m_timeConstant;
    double m_amount = 0;
    TimePoint m_at{};
};

std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// A number in (0, 1) that is spread evenly where the hash is: its upper 53 bits, which a double holds exactly, and a
/// half.
inline double unitInterval(std::uint64_t hash)
{
    constexpr unsigned LowBits = 11;
    return (static_cast<double>(hash >> LowBits) + 0.5) * 0x1p-53;
}

/// Bytes that compressed data may expand to: the longest message between hosts.
constexpr std::size_t MaxExpandedBytes = 64 * 1024 * 1024;

/// What a compressed text costs.
enum class Compression : std::uint8_t {
    Fast, ///< least processor time
    Balanced,
};
/// Compresses a text in zlib's format. Throws Error with the step.
std::string compressed(const std::string &text, Compression compression, const char *step);
/// Expands compressed data. Throws Error with the step and the peer that sent the data.
std::string expanded(const std::string &data, const char *step, const std::string &peer);

/// BLAKE2b-256 of a text as lower-case hex.
std::string digestHex(std::string_view text);
/// 16 bytes that stand for a secret of a caller wherever it is kept, told or compared; they don't lead back to it, and
/// differ from every other digest of the same text.
std::string digestOfSecret(std::string_view secret);

/// An ed25519 key pair as lower-case hex.
struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};
KeyPair makeKeyPair();
std::string signText(std::string_view text, const std::string &secretKeyHex);
bool verifyText(std::string_view text, const std::string &signatureHex, const std::string &publicKeyHex);
/// Random lower-case hex from the system's generator.
std::string randomHex(std::size_t bytes);
bool isHex(std::string_view text, std::size_t bytes);
/// The first bytes of a text from outside, up to `longest`, with '?' in place of what lines and answers can't hold.
std::string printable(std::string_view text, std::size_t longest);
/// The JSON on one line. Text from outside that is no UTF-8 has U+FFFD in place of what can't be read.
std::string jsonText(const nlohmann::json &value);

} // namespace pepperlug
