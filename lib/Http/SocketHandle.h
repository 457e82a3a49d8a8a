//===- SocketHandle.h - Owns a socket ----------------------------*- C++ -*-===//
#pragma once

#include "SocketBytes.h"

#include <utility>

namespace pepperlug
{

class SocketHandle
{
public:
    SocketHandle() = default;

    explicit SocketHandle(int socket)
        : m_socket(socket)
    {
    }

    SocketHandle(SocketHandle &&other) noexcept
        : m_socket(std::exchange(other.m_socket, -1))
    {
    }

    SocketHandle &operator=(SocketHandle &&other) noexcept
    {
        std::swap(m_socket, other.m_socket);
        return *this;
    }

    ~SocketHandle()
    {
        if (m_socket >= 0) {
            closeUndelivered(m_socket);
        }
    }

    SocketHandle(const SocketHandle &) = delete;
    SocketHandle &operator=(const SocketHandle &) = delete;

    explicit operator bool() const
    {
        return m_socket >= 0;
    }

    int descriptor() const
    {
        return m_socket;
    }

private:
    int m_socket = -1;
};

} // namespace pepperlug
