//===- Standin.h - Processes and stand-ins of the cases ----------*- C++ -*-===//
//
// Starts the project's own programs as the deploy file does, on loopback
// addresses, and plays upstreams, clients and the operator as the pages tell.
//
//===----------------------------------------------------------------------===//
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Writes record.txt, each line with the seconds since the start. May be called by any thread.
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);
    double secondsOf(TimePoint time) const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    TimePoint m_start;
};

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const;
};

std::optional<Address> parseAddress(const std::string &text);

struct HttpMessage {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const;
    int status() const; ///< of an answer; 0 if there is none
};

/// A TCP connection. Calls return false or nothing once it has ended or the time is over.
class Connection
{
public:
    explicit Connection(int socket = -1);
    ~Connection();
    Connection(Connection &&other) noexcept;
    Connection &operator=(Connection &&other) noexcept;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static Connection open(const Address &to, Milliseconds timeout);
    bool isOpen() const;
    bool send(const std::string &bytes);
    std::optional<HttpMessage> read(Milliseconds timeout);
    void close(bool withReset = false);
    int socket() const;

private:
    bool readMore(TimePoint until);

    int m_socket;
    std::string m_buf;
};

/// Listens until it is destroyed and gives each connection a thread.
class Listener
{
public:
    Listener(const Address &address, std::function<void(Connection &)> serve);
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    Listener(Listener &&) = delete;
    Listener &operator=(Listener &&) = delete;
    /// Stops listening and resets all connections.
    void end();

private:
    void accept();

    std::function<void(Connection &)> m_serve;
    int m_socket = -1;
    std::atomic<bool> m_hasEnded = false;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// One process of the project.
class Process
{
public:
    Process(std::string program, std::string role, std::string settingsFile, std::string logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    Process(Process &&) = delete;
    Process &operator=(Process &&) = delete;

    void start();
    void signal(int number) const;
    /// Returns whether it has ended; nothing else waits for it.
    bool hasEnded();
    void kill();
    int exitStatus() const;

private:
    std::string m_program;
    std::string m_role;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = 0;
    int m_exitStatus = 0;
};

/// A small deployment: one control and one entry host in each zone.
class Deployment
{
public:
    struct Options {
        std::string program;
        std::string folder; ///< temporary
        double graceS = 6;
        std::vector<std::string> features{"base", "drain", "config", "cost", "retry", "recover", "places"};
    };

    explicit Deployment(Options options);

    static const std::vector<std::string> &zones();
    void startAll();
    Process &control(std::size_t number);
    Process &entry(std::size_t number);
    std::size_t size() const;
    Address operators(std::size_t number) const;
    Address callers(std::size_t number) const;
    Address readiness(std::size_t number) const;
    Address peer(std::size_t number) const; ///< of a control host
    /// Addresses for stand-ins, each call another one.
    Address freeAddress();
    /// Writes the settings of a control host as they are after its first start.
    void endFirstStart();
    bool awaitReady(Milliseconds timeout) const;
    /// Returns the names of processes that have ended by themselves.
    std::vector<std::string> endedProcesses();

private:
    void writeSettings(bool isFirstStart) const;
    std::string commonSettings(const std::string &name, std::size_t zone, const Address &peer) const;

    Options m_options;
    std::uint16_t m_port;
    std::uint16_t m_nextPort;
    std::vector<std::unique_ptr<Process>> m_controls;
    std::vector<std::unique_ptr<Process>> m_entries;
};

/// Calls control hosts as upstreams and the operator do: follows redirections twice, takes the next host after a
/// failure or a second without an answer.
class ControlCaller
{
public:
    explicit ControlCaller(std::vector<Address> hosts);
    HttpMessage call(const std::string &method, const std::string &path, const std::string &headers,
                     const std::string &body);
    /// Calls until there is an answer of 2xx or 4xx; nothing if there is none in time.
    std::optional<HttpMessage> callUntilClear(const std::string &method, const std::string &path,
                                              const std::string &headers, const std::string &body,
                                              Milliseconds timeout);

private:
    std::vector<Address> m_hosts;
    std::size_t m_next = 0;
};

/// An upstream: serves requests, reports itself.
class Upstream
{
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        Address address;
        unsigned slots = 3;
        Milliseconds work{300};
    };
    struct Arrival {
        TimePoint at;
        std::string request;
        bool isRun = false;
        bool isAnswered = false;
    };

    Upstream(Options options, std::vector<Address> controls, Record &record);
    ~Upstream();
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;
    Upstream(Upstream &&) = delete;
    Upstream &operator=(Upstream &&) = delete;

    void startBeats();
    void stopBeats();
    std::string nextBeat(const std::string &state);
    std::string beatPath() const;
    std::string leavePath() const;
    std::string leaveBody() const;
    const Options &options() const;
    std::vector<Arrival> arrivals() const;
    /// From now on loses so many of each ten answers: it resets the connection once the request has run.
    void loseAnswers(unsigned ofTen);
    /// Ends as a planned end does: it closes its connections whatever runs.
    void end();

private:
    void serve(Connection &connection);
    std::string answerTo(const HttpMessage &request);
    std::string run(const std::string &id);
    std::string notExecuted(const std::string &status, const std::string &id);
    bool takeSlot();
    bool losesAnswer();

    Options m_options;
    ControlCaller m_caller;
    Record &m_record;
    std::int64_t m_born;
    std::atomic<std::uint64_t> m_sequence = 0;
    std::atomic<bool> m_beats = false;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    std::condition_variable m_freed;
    std::atomic<unsigned> m_lostOfTen = 0;
    std::atomic<unsigned> m_answers = 0;
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
    std::thread m_beater;
    std::unique_ptr<Listener> m_listener;
};

/// Clients that send requests until they are stopped.
class Clients
{
public:
    struct Options {
        std::vector<Address> entries;
        unsigned threads = 12;
        std::string host;
        std::string prefix;
        std::string method = "POST";
        Milliseconds pause{100};
        Milliseconds deadline{3000};
    };
    struct Outcome {
        TimePoint sentAt;
        int status = 0; ///< 0: the connection ended
    };

    explicit Clients(Options options);
    ~Clients();
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;
    Clients(Clients &&) = delete;
    Clients &operator=(Clients &&) = delete;
    void stop();
    std::map<std::string, Outcome> outcomes() const;

private:
    void run(unsigned number);

    Options m_options;
    std::atomic<bool> m_isStopped = false;
    mutable std::mutex m_mutex;
    std::map<std::string, Outcome> m_outcomes;
    std::vector<std::thread> m_threads;
};

std::string requestText(const std::string &method, const std::string &path, const std::string &headers,
                        const std::string &body);
/// Returns whether the disruption of the case takes place: not with TROUBLE=0.
bool hasTrouble();
void sleepUntil(TimePoint time);

} // namespace review
