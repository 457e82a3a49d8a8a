//===- pepperlug/Wire.h - Calls between the system's processes ---*- C++ -*-===//
//
// Calls over nghttp2 streams: one connection for each pair of processes, one
// stream for each call, so that a large message does not hold up small ones and
// an answer is matched to its call by stream. The messages are typed structs.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Consensus.h"
#include "pepperlug/Control.h"
#include "pepperlug/Steer.h"

namespace pepperlug
{

/// Longest body of a call or of its reply, in bytes.
constexpr std::size_t MaxPeerMessageBytes = 64 * 1024 * 1024;

/// Why a call has no reply.
enum class CallFailure : std::uint8_t {
    None, ///< it has one
    Cancelled,
    TimedOut,
    ConnectionSilent, ///< nothing arrived on its connection any more, while a newer one to the same peer works
    ConnectionLost, ///< its connection could not be made, or was closed
    Refused, ///< by the peer or by the library
};

/// What came of a call.
struct PeerReply {
    bool delivered = false; ///< the peer replied; status and body hold what it said
    bool maybeSent = false; ///< without a reply: whether the peer may have got the call
    unsigned status = 0;
    std::string body;
    std::string reason; ///< without a reply
    CallFailure failure = CallFailure::None;
};
using ReplyHandler = std::function<void(PeerReply)>;

/// A call from another process, until it has been replied to.
class IncomingCall
{
public:
    virtual ~IncomingCall() = default;
    virtual const std::string &path() const = 0;
    virtual const std::string &body() const = 0;
    virtual const std::string &peer() const = 0;
    /// May be called from any thread; a second reply, or one after the caller has gone, does nothing.
    virtual void reply(unsigned status, std::string body) = 0;
    /// Called, on the network thread, if the caller gives up before the reply.
    virtual void onCancel(std::function<void()> handler) = 0;
};
using IncomingCallPtr = std::shared_ptr<IncomingCall>;
using CallHandler = std::function<void(IncomingCallPtr)>;

enum class CallId : std::uint64_t {};

/// What the time limit of a call bounds.
enum class CallLimit : std::uint8_t {
    Whole, ///< the time until the reply is there
    Silence, ///< the time in which nothing comes from the peer, so that a long reply over a slow link arrives
};

/// Counters of all connections of one PeerNet.
struct PeerTraffic {
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t callsMade = 0;
    std::uint64_t callsServed = 0;
    std::uint64_t connectionsMade = 0;
    std::uint64_t connectionsSilent = 0; ///< closed since nothing arrived on them any more
    std::uint64_t handlersFailed = 0; ///< calls or replies whose handler threw
    std::uint64_t callsRefused = 0; ///< of other processes, for lack of memory
    std::uint64_t connectionsRefused = 0; ///< of other processes, since there were too many
};

/// A connection that was closed since nothing arrived on it any more.
struct SilentConnection {
    Address peer;
    Duration silence{}; ///< time since a byte arrived
    std::size_t calls = 0; ///< that ended with it
    bool isPeerAlive = false; ///< a newer connection to the peer works
};

/// All connections to other processes, run by one thread. Handlers run on that thread and must not wait.
class PeerNet
{
public:
    PeerNet();
    ~PeerNet();
    PeerNet(const PeerNet &) = delete;
    PeerNet &operator=(const PeerNet &) = delete;

    /// Sets a handler that is told of silent connections, on the network thread. Must be called before any call.
    void onSilence(std::function<void(const SilentConnection &)> handler);
    /// Sets a handler that is told what a handler of a call or reply threw, on the network thread. Such a call is
    /// replied to with 500. Must be called before any call.
    void onFailure(std::function<void(const std::string &path, const std::string &reason)> handler);
    /// Bounds what calls of other processes hold while they arrive or are in progress, and their connections. Must be
    /// called before listen().
    void bound(const IntakeLimits &limits);
    /// Listens; port 0 lets the kernel choose. Returns the address. Throws Error with step "listen".
    Address listen(const Address &address, CallHandler handler);
    /// Calls `path` at the peer. The handler is called exactly once unless stop() comes first.
    CallId call(const Address &to, std::string path, std::string body, Duration timeout, ReplyHandler handler,
                CallLimit limit = CallLimit::Whole);
    /// Gives up on a call; the peer is told. The handler is called with a reply that was not delivered.
    void cancel(CallId id);
    /// Ends all connections and the thread. Handlers of open calls are dropped.
    void stop();
    PeerTraffic traffic() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

//===-- Paths and messages ----------------------------------------------------===//

namespace path
{
constexpr const char *Lease = "/lease";
constexpr const char *Forward = "/forward";
constexpr const char *Watch = "/watch";
constexpr const char *Vote = "/control/vote";
constexpr const char *VoteReply = "/control/vote-reply";
constexpr const char *Append = "/control/append";
constexpr const char *AppendReply = "/control/append-reply";
constexpr const char *Snapshot = "/control/snapshot";
} // namespace path

/// Path under which a message of the control log travels.
const char *pathOf(const ControlMessage &message);
std::string encodeControlMessage(const ControlMessage &message);
/// Nothing if the path is none of the control log's. Throws Error if the body can't be decoded.
std::optional<ControlMessage> decodeControlMessage(const std::string &path, const std::string &body,
                                                   const std::string &peer);

/// Body of path::Lease; the reply is a LeaseGrant.
struct LeaseCall {
    std::string holder; ///< name of the entry host that asks
    LeaseRequest request;
    MSGPACK_DEFINE(holder, request);
};

struct WireHeader {
    std::string name;
    std::string value;
    MSGPACK_DEFINE(name, value);
};

/// Body of path::Forward: a caller's request on its way to a host of the target's zone, or to the home of its key.
struct ForwardCall {
    std::string sender; ///< entry host
    std::string service;
    std::string callerZone; ///< empty if not known
    std::string method;
    std::string resource; ///< path and query at the target
    std::vector<WireHeader> headers;
    std::string body;
    Milliseconds budget{}; ///< time left of the caller's deadline
    std::string key;
    bool toHome = false;
    bool claimed = false;
    bool mayRepeat = true; ///< by the sender's bundle; absent in calls of earlier versions
    MSGPACK_DEFINE(sender, service, callerZone, method, resource, headers, body, budget, key, toHome, claimed,
                   mayRepeat);
};

/// Reply to path::Forward.
struct ForwardReply {
    bool answered = false; ///< a whole answer of a target follows
    std::uint32_t status = 0;
    std::vector<WireHeader> headers;
    std::string body;
    bool notRun = false; ///< without an answer: certain that it was not run
    std::string reason;
    std::string peer;
    Milliseconds retryAfter{};
    MSGPACK_DEFINE(answered, status, headers, body, notRun, reason, peer, retryAfter);
};

/// Body of path::Watch: an entry host asks for what is in force past what it has.
struct WatchCall {
    std::string host;
    std::uint64_t index = 0; ///< in force at the host
    std::string digest; ///< of its bundle
    bool leaving = false;
    Milliseconds patience{}; ///< how long the reply may be held back if there is nothing new
    std::vector<std::string> idleTargets; ///< drained and idle at this host
    MSGPACK_DEFINE(host, index, digest, leaving, patience, idleTargets);
};

/// Reply to path::Watch.
struct WatchReply {
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    bool current = false; ///< the sender is, or follows, a leader that a majority follows
    bool changed = false; ///< the fields below are set
    bool hasBundle = false; ///< false where the watcher's bundle is still the one in force
    std::string bundleText;
    std::vector<std::string> drainedTargets;
    std::vector<std::string> drainedHosts;
    std::vector<std::string> voidHosts;
    MSGPACK_DEFINE(term, index, current, changed, hasBundle, bundleText, drainedTargets, drainedHosts, voidHosts);
};

} // namespace pepperlug
