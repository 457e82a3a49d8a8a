//===- LogSink.cpp - Lines to a file, off the hot path --------------------===//
//
// easylogging++ formats and writes on the calling thread under a lock. Measured paths must not wait for a disk, so a
// bounded queue stands before it, and one thread for each sink writes.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Support.h"

#include <easylogging++.h>

#include <fstream>

INITIALIZE_EASYLOGGINGPP

namespace pepperlug
{

namespace
{

constexpr std::string_view StandardOutput = "-";
/// After a write, lines are gathered for so long; each wake-up costs more than a line.
constexpr Milliseconds GatherTime{100};

void configureLogger(const std::string &name, const std::string &file)
{
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::Format, "%msg");
    const bool isFile = file != StandardOutput;
    if (isFile) {
        conf.setGlobally(el::ConfigurationType::Filename, file);
    }
    conf.setGlobally(el::ConfigurationType::ToFile, isFile ? "true" : "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, isFile ? "false" : "true");
    conf.setGlobally(el::ConfigurationType::LogFlushThreshold, "256");
    el::Loggers::getLogger(name);
    el::Loggers::reconfigureLogger(name, conf);
}

} // namespace

LogSink::LogSink(const std::string &name, const std::string &file, std::size_t capacity)
    : m_name(name)
    , m_capacity(capacity)
    , m_enabled(!file.empty())
{
    if (!m_enabled) {
        return;
    }
    if (file != StandardOutput && !std::ofstream(file, std::ios::app)) {
        throw Error("open log", file, "cannot be opened for writing");
    }
    configureLogger(name, file);
    m_thread = std::thread([this] { run(); });
}

LogSink::~LogSink()
{
    if (!m_thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_stop = true;
    }
    m_wake.notify_one();
    m_thread.join();
}

void LogSink::write(std::string line)
{
    writeLater([line = std::move(line)] { return line; });
}

void LogSink::writeLater(std::function<std::string()> make)
{
    if (!m_enabled) {
        return;
    }
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.size() >= m_capacity) {
            ++m_dropped;
            return;
        }
        m_queue.push_back(std::move(make));
        wake = std::exchange(m_sleeping, false);
    }
    if (wake) {
        m_wake.notify_one();
    }
}

void LogSink::flush(Duration atMost)
{
    std::unique_lock lock(m_mutex);
    m_isFlushing = true;
    m_wake.notify_one();
    m_idle.wait_for(lock, atMost, [this] { return m_queue.empty() && !m_isWriting; });
    m_isFlushing = false;
}

std::uint64_t LogSink::dropped() const
{
    return m_dropped;
}

bool LogSink::enabled() const
{
    return m_enabled;
}

void LogSink::run()
{
    el::Logger *logger = el::Loggers::getLogger(m_name);
    std::vector<std::function<std::string()>> batch;
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            m_sleeping = m_queue.empty();
            m_wake.wait(lock, [this] { return m_stop || !m_queue.empty(); });
            m_sleeping = false;
            if (m_queue.empty()) {
                break;
            }
            batch.swap(m_queue);
            m_isWriting = true;
        }
        // Lines that wait together are written together.
        std::string text;
        for (const auto &make : batch) {
            text += text.empty() ? "" : "\n";
            text += make();
        }
        logger->info(text);
        logger->flush();
        batch.clear();
        std::unique_lock lock(m_mutex);
        m_isWriting = false;
        m_idle.notify_all();
        m_wake.wait_for(lock, GatherTime,
                        [this] { return m_stop || m_isFlushing || m_queue.size() >= m_capacity / 2; });
    }
}

} // namespace pepperlug
