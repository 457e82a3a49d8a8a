//===- Standin.h - Clients, upstreams and an operator of the review -*- C++
//-*-===//
//
// Small stand-ins that speak what the users' pages say, over plain sockets on
// loopback addresses, and the programs of the deploy file as processes of their
// own. Nothing here uses the project's code.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// What was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::filesystem::path &file);
    void line(const std::string &text);

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    TimePoint m_start = SteadyClock::now();
};

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const;
    static Address parse(const std::string &text);
};

struct Message {
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::string field(std::string_view name) const;
    unsigned status() const;
    /// Target of a request: path and query.
    std::string target() const;
    std::string method() const;
};

struct StreamOptions {
    int receiveBuffer = 0; ///< bytes; 0 for the system's choice
    int segment = 0; ///< bytes; 0 for the system's choice
};

/// One TCP connection.
class Stream
{
public:
    explicit Stream(int socket);
    ~Stream();
    /// Address of the other side.
    Address peer() const;
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    /// Null if nothing listens, or no connection comes up within a second.
    static std::unique_ptr<Stream> connect(const Address &to, const StreamOptions &options = {});

    bool send(std::string_view bytes);
    /// Reads up to `most` bytes. Empty: the connection has ended, or the time is
    /// over.
    std::string receive(std::size_t most, Milliseconds timeout);
    /// Reads a message whose body has a length, or none.
    std::optional<Message> read(Milliseconds timeout);
    bool hasEnded() const;
    void close();
    /// Closes with a reset.
    void reset();

private:
    std::optional<Message> takeMessage();

    std::atomic<int> m_socket;
    std::string m_buffer;
    bool m_hasEnded = false;
};

/// Sends one request on a connection of its own.
std::optional<Message> ask(const Address &to, const std::string &method, const std::string &target,
                           const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body,
                           Milliseconds timeout);

/// Bytes of a request or of an answer with a body of that length.
std::string encode(const std::string &firstLine, const std::vector<std::pair<std::string, std::string>> &fields,
                   const std::string &body);

/// Takes connections on an address; each gets a thread.
class Listener
{
public:
    using Handler = std::function<void(Stream &)>;
    Listener(const Address &at, Handler handler);

private:
    void run(int socket);
    Handler m_handler;
};

/// A program of the deploy file, as a process.
class Process
{
public:
    Process(std::string command, std::filesystem::path settings, std::filesystem::path output);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start();
    void signal(int number) const;
    /// Waits for the end; returns whether it came in time.
    bool waitForEnd(Milliseconds timeout);
    void kill();
    pid_t id() const;

private:
    std::string m_command;
    std::filesystem::path m_settings;
    std::filesystem::path m_output;
    pid_t m_id = 0;
};

/// Zones with a control host and an entry host each, as in a small deployment.
struct Layout {
    std::vector<std::pair<std::string, std::string>> zones; ///< name and region
};

class System
{
public:
    explicit System(Layout layout);
    ~System();
    System(const System &) = delete;
    System &operator=(const System &) = delete;

    void start();
    /// Ends all processes.
    void stop();
    /// Sends the configuration until it is acknowledged, and waits until all
    /// entry hosts are ready.
    bool configure(const std::string &text, const std::string &base, Milliseconds patience);
    bool awaitReady(Milliseconds patience) const;

    std::size_t controlHosts() const;
    std::size_t entryHosts() const;
    Process &control(std::size_t number);
    Process &entry(std::size_t number);
    Address operators(std::size_t number) const;
    Address directory(std::size_t number) const;
    Address callers(std::size_t number) const;
    Address readiness(std::size_t number) const;
    std::string zone(std::size_t host) const;
    /// An address for a stand-in.
    Address standin(unsigned number) const;
    const std::filesystem::path &folder() const;

private:
    std::string ip(unsigned number) const;
    std::filesystem::path writeControl(std::size_t number, bool isFirstStart) const;
    std::filesystem::path writeEntry(std::size_t number) const;

    Layout m_layout;
    std::string m_network;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<Process>> m_control;
    std::vector<std::unique_ptr<Process>> m_entry;
};

/// Ends the processes of a system before the stand-ins that they call.
class StopAtEnd
{
public:
    explicit StopAtEnd(System &system);
    ~StopAtEnd();
    StopAtEnd(const StopAtEnd &) = delete;
    StopAtEnd &operator=(const StopAtEnd &) = delete;

private:
    System &m_system;
};

/// An upstream: listens, answers its health path, reports itself, and hands
/// each request to a handler.
class Upstream
{
public:
    using Handler = std::function<void(Stream &stream, const Message &request)>;
    /// Tells whether a process is cut off from this upstream; its connections are reset when it sends something.
    using IsCut = std::function<bool(pid_t source)>;
    struct Identity {
        std::string id;
        std::string service;
        std::string zone;
        Address at;
        unsigned slots = 3;
    };
    Upstream(Identity identity, std::vector<Address> control, Handler handler, IsCut isCut = nullptr);
    ~Upstream();
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    const Identity &identity() const;
    /// Reports the state now; returns whether it was acknowledged.
    bool report(const std::string &state);

private:
    void serve(Stream &stream);
    void reportRegularly();

    Identity m_identity;
    std::vector<Address> m_control;
    Handler m_handler;
    IsCut m_isCut;
    std::mutex m_mutex;
    std::string m_state = "ready";
    std::uint64_t m_sequence = 0;
    std::size_t m_next = 0;
    std::atomic<bool> m_stop = false;
    std::unique_ptr<Listener> m_listener;
    std::thread m_reporter;
};

/// Fields that each answer of an upstream to a request has.
std::vector<std::pair<std::string, std::string>> answerFields(const Message &request, const std::string &load);

/// Whether the case plays its disruption (TROUBLE is not 0).
bool hasTrouble();

/// Runs a case, whose arguments are its folder; ends the process with the
/// verdict.
int runCase(int argc, char **argv, const std::function<Verdict(Record &)> &play);

} // namespace review
