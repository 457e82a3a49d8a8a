//===- Standin.cpp - Sockets, processes and actors of the review ----------===//
#include "Standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::uint16_t PeerPort = 17660;
constexpr std::uint16_t OperatorsPort = 17146;
constexpr std::uint16_t DirectoryPort = 17143;
constexpr std::uint16_t CallersPort = 17144;
constexpr std::uint16_t ReadinessPort = 17140;
constexpr std::uint16_t MetricsPort = 17464;
constexpr std::uint16_t StandinPort = 17080;
constexpr unsigned FirstEntryHost = 100;
constexpr unsigned FirstStandin = 150;
constexpr auto ReportInterval = 1500ms;
constexpr auto CallTimeout = 1000ms;
constexpr std::size_t ReadSize = 64UL * 1024;

bool sameName(std::string_view lhs, std::string_view rhs)
{
    return lhs.size() == rhs.size() && strncasecmp(lhs.data(), rhs.data(), lhs.size()) == 0;
}

sockaddr_in socketAddress(const Address &address)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

bool isReadable(int socket, Milliseconds timeout)
{
    pollfd entry{socket, POLLIN, 0};
    return ::poll(&entry, 1, static_cast<int>(std::max<Milliseconds::rep>(0, timeout.count()))) > 0;
}

/// A network that no other process of this machine's cases uses.
std::string networkOfThisProcess()
{
    constexpr unsigned Octet = 250;
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(1 + pid % Octet) + "." + std::to_string(1 + pid / Octet % Octet);
}

std::string commandOf(const std::string &role)
{
    std::ifstream file("deploy/system.toml");
    bool isInRole = false;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("[")) {
            isInRole = line.starts_with("[roles." + role + "]");
        } else if (isInRole && line.starts_with("run = \"")) {
            const std::size_t start = line.find('"') + 1;
            return line.substr(start, line.find('"', start) - start);
        }
    }
    throw std::runtime_error("deploy/system.toml has no command for " + role);
}

} // namespace

Record::Record(const std::filesystem::path &file)
    : m_out(file)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - m_start).count();
    std::ostringstream out;
    out.setf(std::ios::fixed);
    out.precision(3);
    out << static_cast<double>(now) / 1000 << " " << text << "\n";
    m_out << out.str() << std::flush;
}

std::string Address::text() const
{
    return ip + ":" + std::to_string(port);
}

Address Address::parse(const std::string &text)
{
    const std::size_t colon = text.find(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

std::string Message::field(std::string_view name) const
{
    const auto it =
        std::find_if(fields.begin(), fields.end(), [&](const auto &field) { return sameName(field.first, name); });
    return it == fields.end() ? std::string() : it->second;
}

unsigned Message::status() const
{
    const std::size_t space = firstLine.find(' ');
    return space == std::string::npos ? 0 : static_cast<unsigned>(std::atoi(firstLine.c_str() + space));
}

std::string Message::method() const
{
    return firstLine.substr(0, firstLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t start = firstLine.find(' ') + 1;
    return firstLine.substr(start, firstLine.find(' ', start) - start);
}

Stream::Stream(int socket)
    : m_socket(socket)
{
}

Stream::~Stream()
{
    close();
}

Address Stream::peer() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return {text.data(), ntohs(address.sin_port)};
}

std::unique_ptr<Stream> Stream::connect(const Address &to, const StreamOptions &options)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (options.receiveBuffer > 0) {
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &options.receiveBuffer, sizeof options.receiveBuffer);
    }
    if (options.segment > 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const sockaddr_in address = socketAddress(to);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<Stream>(socket);
}

bool Stream::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            m_hasEnded = true;
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::string Stream::receive(std::size_t most, Milliseconds timeout)
{
    if (!m_buffer.empty()) {
        std::string taken = m_buffer.substr(0, most);
        m_buffer.erase(0, taken.size());
        return taken;
    }
    if (m_hasEnded || !isReadable(m_socket, timeout)) {
        return {};
    }
    std::string bytes(most, '\0');
    const ssize_t n = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    m_hasEnded = n <= 0;
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    return bytes;
}

std::optional<Message> Stream::takeMessage()
{
    const std::size_t end = m_buffer.find(HeadEnd);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    Message message;
    std::istringstream head(m_buffer.substr(0, end));
    std::getline(head, message.firstLine);
    message.firstLine = message.firstLine.substr(0, message.firstLine.find('\r'));
    for (std::string line; std::getline(head, line);) {
        line = line.substr(0, line.find('\r'));
        const std::size_t colon = std::min(line.find(':'), line.size());
        const std::size_t value = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
        message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    const std::string length = message.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    const std::size_t start = end + HeadEnd.size();
    if (m_buffer.size() < start + size) {
        return std::nullopt;
    }
    message.body = m_buffer.substr(start, size);
    m_buffer.erase(0, start + size);
    return message;
}

std::optional<Message> Stream::read(Milliseconds timeout)
{
    const TimePoint until = SteadyClock::now() + timeout;
    for (;;) {
        if (std::optional<Message> message = takeMessage()) {
            return message;
        }
        const auto left = std::chrono::duration_cast<Milliseconds>(until - SteadyClock::now());
        if (left.count() <= 0 || m_hasEnded || !isReadable(m_socket, left)) {
            return std::nullopt;
        }
        std::string bytes(ReadSize, '\0');
        const ssize_t n = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (n <= 0) {
            m_hasEnded = true;
            return std::nullopt;
        }
        m_buffer.append(bytes, 0, static_cast<std::size_t>(n));
    }
}

bool Stream::hasEnded() const
{
    return m_hasEnded;
}

void Stream::close()
{
    const int socket = m_socket.exchange(-1);
    if (socket >= 0) {
        ::close(socket);
    }
}

void Stream::reset()
{
    const linger now{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

std::string encode(const std::string &firstLine, const std::vector<std::pair<std::string, std::string>> &fields,
                   const std::string &body)
{
    std::string bytes = firstLine + "\r\n";
    for (const auto &[name, value] : fields) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> ask(const Address &to, const std::string &method, const std::string &target,
                           const std::vector<std::pair<std::string, std::string>> &fields, const std::string &body,
                           Milliseconds timeout)
{
    const std::unique_ptr<Stream> stream = Stream::connect(to);
    if (!stream) {
        return std::nullopt;
    }
    std::vector<std::pair<std::string, std::string>> all = fields;
    if (std::none_of(all.begin(), all.end(), [](const auto &it) { return it.first == "Host"; })) {
        all.emplace_back("Host", to.text());
    }
    if (!stream->send(encode(method + " " + target + " HTTP/1.1", all, body))) {
        return std::nullopt;
    }
    return stream->read(timeout);
}

Listener::Listener(const Address &at, Handler handler)
    : m_handler(std::move(handler))
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = socketAddress(at);
    constexpr int Backlog = 256;
    if (::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(socket, Backlog) != 0) {
        throw std::runtime_error("can't listen at " + at.text() + ": " + std::strerror(errno));
    }
    std::thread([this, socket] { run(socket); }).detach();
}

void Listener::run(int socket)
{
    for (;;) {
        const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, accepted] {
            Stream stream(accepted);
            m_handler(stream);
        }).detach();
    }
}

Process::Process(std::string command, std::filesystem::path settings, std::filesystem::path output)
    : m_command(std::move(command))
    , m_settings(std::move(settings))
    , m_output(std::move(output))
{
}

Process::~Process()
{
    kill();
}

void Process::start()
{
    std::vector<std::string> words;
    std::istringstream text(m_command);
    for (std::string word; text >> word;) {
        words.push_back(word);
    }
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string &word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string variable = "PEPPERLUG_CONFIG=" + m_settings.string();
    const std::string path = std::string("PATH=") + std::getenv("PATH");
    std::vector<char *> variables{const_cast<char *>(variable.c_str()), const_cast<char *>(path.c_str()), nullptr};
    constexpr mode_t Mode = 0644;
    const int output = ::open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
    m_id = ::fork();
    if (m_id == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments.front(), arguments.data(), variables.data());
        ::_exit(127);
    }
    ::close(output);
}

void Process::signal(int number) const
{
    if (m_id > 0) {
        ::kill(m_id, number);
    }
}

bool Process::waitForEnd(Milliseconds timeout)
{
    const TimePoint until = SteadyClock::now() + timeout;
    while (m_id > 0 && ::waitpid(m_id, nullptr, WNOHANG) == 0) {
        if (SteadyClock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    m_id = 0;
    return true;
}

void Process::kill()
{
    if (m_id > 0) {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = 0;
    }
}

pid_t Process::id() const
{
    return m_id;
}

System::System(Layout layout)
    : m_layout(std::move(layout))
    , m_network(networkOfThisProcess())
{
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("can't make a temporary folder");
    }
    m_folder = folder;
    for (std::size_t n = 0; n < m_layout.zones.size(); ++n) {
        m_control.push_back(std::make_unique<Process>(commandOf("control"), writeControl(n, true),
                                                      m_folder / ("control-" + std::to_string(n) + ".log")));
    }
    for (std::size_t n = 0; n < m_layout.zones.size(); ++n) {
        m_entry.push_back(std::make_unique<Process>(commandOf("entry"), writeEntry(n),
                                                    m_folder / ("entry-" + std::to_string(n) + ".log")));
    }
}

void System::stop()
{
    for (const auto &it : m_entry) {
        it->kill();
    }
    for (const auto &it : m_control) {
        it->kill();
    }
}

StopAtEnd::StopAtEnd(System &system)
    : m_system(system)
{
}

StopAtEnd::~StopAtEnd()
{
    m_system.stop();
    std::this_thread::sleep_for(200ms); // for the stand-ins to see the ends of their connections
}

System::~System()
{
    stop();
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    } else {
        std::cerr << "kept: " << m_folder << "\n";
    }
}

std::string System::ip(unsigned number) const
{
    return m_network + "." + std::to_string(number + 1);
}

Address System::operators(std::size_t number) const
{
    return {ip(static_cast<unsigned>(number)), OperatorsPort};
}

Address System::directory(std::size_t number) const
{
    return {ip(static_cast<unsigned>(number)), DirectoryPort};
}

Address System::callers(std::size_t number) const
{
    return {ip(FirstEntryHost + static_cast<unsigned>(number)), CallersPort};
}

Address System::readiness(std::size_t number) const
{
    return {ip(FirstEntryHost + static_cast<unsigned>(number)), ReadinessPort};
}

std::string System::zone(std::size_t host) const
{
    return m_layout.zones[host % m_layout.zones.size()].first;
}

Address System::standin(unsigned number) const
{
    return {ip(FirstStandin + number), StandinPort};
}

const std::filesystem::path &System::folder() const
{
    return m_folder;
}

std::size_t System::controlHosts() const
{
    return m_control.size();
}

std::size_t System::entryHosts() const
{
    return m_entry.size();
}

Process &System::control(std::size_t number)
{
    return *m_control[number];
}

Process &System::entry(std::size_t number)
{
    return *m_entry[number];
}

namespace
{

// What the templates of the deploy file give every host, with the bounds of the
// site kemal-sahaf.
nlohmann::json commonSettings(const Layout &layout)
{
    nlohmann::json zones = nlohmann::json::array();
    for (const auto &[name, region] : layout.zones) {
        zones.push_back({{"name", name}, {"region", region}});
    }
    return {{"zones", zones},
            {"bounds",
             {{"grace_s", 6},
              {"acknowledge_s", 4},
              {"retry_ratio", 0.2},
              {"retry_window_s", 10},
              {"retry_slack", 58},
              {"max_shift", 0.15},
              {"report_interval_s", 1.5}}}};
}

std::filesystem::path write(const std::filesystem::path &file, const nlohmann::json &json)
{
    std::ofstream(file) << json.dump(1);
    return file;
}

} // namespace

std::filesystem::path System::writeControl(std::size_t number, bool isFirstStart) const
{
    const std::string name = "control-" + std::to_string(number);
    nlohmann::json json = commonSettings(m_layout);
    const std::string host = ip(static_cast<unsigned>(number));
    json["name"] = name;
    json["zone"] = zone(number);
    json["peer"] = Address{host, PeerPort}.text();
    json["metrics"] = Address{host, MetricsPort}.text();
    json["seeds"] = {operators(0).text(), operators(1).text(), operators(2).text()};
    json["operators"] = operators(number).text();
    json["directory"] = directory(number).text();
    json["data_folder"] = (m_folder / name).string();
    json["first_start"] = isFirstStart;
    return write(m_folder / (name + ".json"), json);
}

std::filesystem::path System::writeEntry(std::size_t number) const
{
    const std::string name = "entry-" + std::to_string(number);
    nlohmann::json json = commonSettings(m_layout);
    const std::string host = ip(FirstEntryHost + static_cast<unsigned>(number));
    json["name"] = name;
    json["zone"] = zone(number);
    json["peer"] = Address{host, PeerPort}.text();
    json["metrics"] = Address{host, MetricsPort}.text();
    json["seeds"] = {operators(0).text(), operators(1).text(), operators(2).text()};
    json["features"] = {"base", "drain", "config", "cost", "retry", "recover", "places"};
    json["policy"] = {{"follow_losses", "paced"}};
    json["link_mbps"] = 1000;
    json["callers"] = callers(number).text();
    json["readiness"] = readiness(number).text();
    return write(m_folder / (name + ".json"), json);
}

void System::start()
{
    for (const auto &it : m_control) {
        it->start();
    }
    for (const auto &it : m_entry) {
        it->start();
    }
}

bool System::configure(const std::string &text, const std::string &base, Milliseconds patience)
{
    const TimePoint until = SteadyClock::now() + patience;
    Address to = operators(0);
    for (std::size_t n = 0; SteadyClock::now() < until; ++n) {
        const std::optional<Message> answer =
            ask(to, "POST", "/api/Config.Put", {{"X-If-Rev", base}, {"Content-Type", "application/json"}}, text, 4s);
        if (answer && answer->status() == 200) {
            return true;
        }
        if (answer && answer->status() == 307) {
            const std::string place = answer->field("Location").substr(std::strlen("http://"));
            to = Address::parse(place.substr(0, place.find('/')));
            continue;
        }
        std::this_thread::sleep_for(100ms);
        to = operators(n % controlHosts());
    }
    return false;
}

bool System::awaitReady(Milliseconds patience) const
{
    const TimePoint until = SteadyClock::now() + patience;
    for (std::size_t n = 0; n < entryHosts();) {
        const std::optional<Message> answer = ask(readiness(n), "GET", "/api/readyz", {}, {}, CallTimeout);
        if (answer && answer->status() == 200) {
            ++n;
        } else if (SteadyClock::now() > until) {
            return false;
        } else {
            std::this_thread::sleep_for(50ms);
        }
    }
    return true;
}

namespace
{

/// "0100007F:1F90", as /proc/net/tcp tells an address.
std::string procText(const Address &address)
{
    in_addr ip{};
    inet_pton(AF_INET, address.ip.c_str(), &ip);
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08X:%04X", ip.s_addr, static_cast<unsigned>(address.port));
    return text.data();
}

/// Inode of the socket with these ends; empty if there is none.
std::string inodeOf(const Address &local, const Address &remote)
{
    std::ifstream table("/proc/net/tcp");
    const std::string ends = procText(local).append(" ").append(procText(remote));
    for (std::string line; std::getline(table, line);) {
        if (line.find(ends) == std::string::npos) {
            continue;
        }
        std::istringstream fields(line);
        std::string word;
        constexpr int InodeField = 10;
        for (int n = 0; n < InodeField; ++n) {
            fields >> word;
        }
        return word;
    }
    return {};
}

bool holdsSocket(pid_t id, const std::string &inode)
{
    std::error_code ec;
    const std::string wanted = "socket:[" + inode + "]";
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(id) + "/fd", ec);
    return std::any_of(begin(files), end(files), [&](const auto &it) {
        std::error_code ignored;
        return std::filesystem::read_symlink(it.path(), ignored).string() == wanted;
    });
}

/// Child process that made a connection to this one; 0 if none is found.
pid_t sourceOf(const Stream &stream, const Address &at)
{
    const std::string inode = inodeOf(stream.peer(), at);
    const std::string self = std::to_string(getpid());
    std::ifstream children("/proc/" + self + "/task/" + self + "/children");
    for (pid_t id = 0; !inode.empty() && children >> id;) {
        if (holdsSocket(id, inode)) {
            return id;
        }
    }
    return 0;
}

} // namespace

Upstream::Upstream(Identity identity, std::vector<Address> control, Handler handler, IsCut isCut)
    : m_identity(std::move(identity))
    , m_control(std::move(control))
    , m_handler(std::move(handler))
    , m_isCut(std::move(isCut))
    , m_listener(std::make_unique<Listener>(m_identity.at, [this](Stream &stream) { serve(stream); }))
    , m_reporter([this] { reportRegularly(); })
{
}

Upstream::~Upstream()
{
    m_stop = true;
    m_reporter.join();
}

const Upstream::Identity &Upstream::identity() const
{
    return m_identity;
}

void Upstream::serve(Stream &stream)
{
    constexpr auto IdleTime = 10s;
    const pid_t source = m_isCut ? sourceOf(stream, m_identity.at) : 0;
    while (const std::optional<Message> request = stream.read(IdleTime)) {
        if (m_isCut && m_isCut(source)) {
            stream.reset();
            return;
        }
        if (request->field("X-Expect-Instance").empty()) {
            stream.send(encode("HTTP/1.1 200 OK", {{"X-Instance-Id", m_identity.id}}, "well"));
        } else if (request->field("X-Expect-Instance") != m_identity.id) {
            stream.send(encode("HTTP/1.1 421 Misdirected Request",
                               {{"X-Request-Id", request->field("X-Request-Id")}, {"X-Not-Executed", "1"}}, ""));
        } else {
            m_handler(stream, *request);
        }
        if (stream.hasEnded()) {
            return;
        }
    }
}

bool Upstream::report(const std::string &state)
{
    std::string body;
    Address to;
    {
        const std::lock_guard lock(m_mutex);
        m_state = state;
        body = nlohmann::json{{"service", m_identity.service},
                              {"addr", m_identity.at.text()},
                              {"zone", m_identity.zone},
                              {"version", "v1"},
                              {"slots", m_identity.slots},
                              {"state", state},
                              {"coldLeftS", 0},
                              {"seq", ++m_sequence}}
                   .dump();
        to = m_control[m_next % m_control.size()];
    }
    const std::optional<Message> answer = ask(to, "POST", "/api/Instances.Heartbeat/" + m_identity.id,
                                              {{"Content-Type", "application/json"}}, body, CallTimeout);
    const bool isTaken = answer && answer->status() == 200;
    if (!isTaken) {
        const std::lock_guard lock(m_mutex);
        ++m_next;
    }
    return isTaken;
}

void Upstream::reportRegularly()
{
    while (!m_stop) {
        std::string state;
        {
            const std::lock_guard lock(m_mutex);
            state = m_state;
        }
        const bool isTaken = report(state);
        const TimePoint next = SteadyClock::now() + (isTaken ? Milliseconds(ReportInterval) : 50ms);
        while (!m_stop && SteadyClock::now() < next) {
            std::this_thread::sleep_for(10ms);
        }
    }
}

std::vector<std::pair<std::string, std::string>> answerFields(const Message &request, const std::string &load)
{
    return {{"X-Request-Id", request.field("X-Request-Id")},
            {"X-Upstream-Seal", "seal-" + request.field("X-Request-Id")},
            {"X-Upstream-Load", load}};
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

int runCase(int argc, char **argv, const std::function<Verdict(Record &)> &play)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " FOLDER\n";
        return static_cast<int>(Verdict::NotRun);
    }
    Verdict verdict = Verdict::NotRun;
    try {
        Record record(std::filesystem::path(argv[1]) / "record.txt");
        verdict = play(record);
        record.line("verdict: " + std::to_string(static_cast<int>(verdict)));
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << "\n";
    }
    std::cout << "verdict: " << static_cast<int>(verdict) << std::endl;
    // Threads of the stand-ins may still wait for requests; all processes have
    // been ended.
    std::_Exit(static_cast<int>(verdict));
}

} // namespace review
