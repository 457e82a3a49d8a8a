//===- PosixFile.cpp - Files that are synced ------------------------------===//
#include "pepperlug/Storage.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace pepperlug
{

namespace
{

constexpr mode_t FileMode = 0600;
constexpr mode_t FolderMode = 0700;
constexpr std::size_t DiskIdBytes = 8;
constexpr const char *FormatText = "pepperlug data 1\n";
constexpr const char *InitialDiskId = "initial";

[[noreturn]] void fail(const std::string &step, const std::string &path)
{
    throw Error(step, path, std::strerror(errno));
}

std::string folderOf(const std::string &path)
{
    const std::size_t slash = path.rfind('/');
    return slash == std::string::npos ? "." : path.substr(0, slash);
}

void syncFolder(const std::string &path)
{
    const int fd = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        fail("open folder", path);
    }
    const int result = fsync(fd);
    close(fd);
    if (result != 0) {
        fail("sync folder", path);
    }
}

bool exists(const std::string &path)
{
    struct stat info {
    };
    return stat(path.c_str(), &info) == 0;
}

} // namespace

PosixFile::PosixFile(std::string path)
    : m_path(std::move(path))
{
    const bool isNew = !exists(m_path);
    m_fd = open(m_path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, FileMode);
    if (m_fd < 0) {
        fail("open", m_path);
    }
    if (isNew) {
        syncFolder(folderOf(m_path));
    }
}

PosixFile::~PosixFile()
{
    if (m_fd >= 0) {
        close(m_fd);
    }
}

PosixFile::PosixFile(PosixFile &&other) noexcept
    : m_path(std::move(other.m_path))
    , m_fd(std::exchange(other.m_fd, -1))
{
}

PosixFile &PosixFile::operator=(PosixFile &&other) noexcept
{
    std::swap(m_path, other.m_path);
    std::swap(m_fd, other.m_fd);
    return *this;
}

std::string PosixFile::readAll()
{
    std::string bytes;
    std::array<char, 65536> buf{};
    off_t offset = 0;
    for (;;) {
        const ssize_t n = pread(m_fd, buf.data(), buf.size(), offset);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            fail("read", m_path);
        }
        if (n == 0) {
            return bytes;
        }
        bytes.append(buf.data(), static_cast<std::size_t>(n));
        offset += n;
    }
}

void PosixFile::append(const std::string &bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = write(m_fd, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            fail("write", m_path);
        }
        done += static_cast<std::size_t>(n);
    }
}

void PosixFile::truncate(std::uint64_t size)
{
    if (ftruncate(m_fd, static_cast<off_t>(size)) != 0) {
        fail("truncate", m_path);
    }
}

void PosixFile::sync()
{
    if (fdatasync(m_fd) != 0) {
        fail("sync", m_path);
    }
}

const std::string &PosixFile::name() const
{
    return m_path;
}

void replaceFile(const std::string &path, const std::string &bytes)
{
    const std::string temporary = path + ".new";
    unlink(temporary.c_str());
    {
        PosixFile file(temporary);
        file.append(bytes);
        file.sync();
    }
    if (rename(temporary.c_str(), path.c_str()) != 0) {
        fail("rename", path);
    }
    syncFolder(folderOf(path));
}

DataFolder::DataFolder(std::string path)
    : m_path(std::move(path))
{
    if (mkdir(m_path.c_str(), FolderMode) != 0 && errno != EEXIST) {
        fail("make folder", m_path);
    }
    const std::string lock = file("LOCK");
    m_lockFd = open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
    if (m_lockFd < 0) {
        fail("open", lock);
    }
    if (flock(m_lockFd, LOCK_EX | LOCK_NB) != 0) {
        throw Error("lock", lock, "another process holds the data folder");
    }
    const std::string format = file("FORMAT");
    if (!exists(format)) {
        // A folder that holds a log but no format was not made by this program, or has lost files.
        if (exists(file("log")) || exists(file("ledger"))) {
            throw Error("open data folder", format, "is missing beside a log");
        }
        replaceFile(format, FormatText);
    } else if (readFile(format) != FormatText) {
        throw Error("open data folder", format, "is of another version of the data format");
    }
}

DataFolder::~DataFolder()
{
    if (m_lockFd >= 0) {
        close(m_lockFd);
    }
}

std::string DataFolder::file(const std::string &name) const
{
    return m_path + "/" + name;
}

std::string DataFolder::diskId(bool isInitial)
{
    const std::string path = file("DISK");
    if (!exists(path)) {
        if (exists(file("log"))) {
            throw Error("open data folder", path, "is missing beside a log");
        }
        replaceFile(path, isInitial ? InitialDiskId : randomHex(DiskIdBytes));
    }
    return readFile(path);
}

} // namespace pepperlug
