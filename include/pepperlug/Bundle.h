//===- pepperlug/Bundle.h - The versioned bundle of operators ----*- C++ -*-===//
//
// What operators write, check, sign and roll out: regions, availability zones,
// entry hosts, services, targets, caps, limits and client blocks. A Bundle is
// parsed and checked whole, then never changes.
//
//===----------------------------------------------------------------------===//
#pragma once

#include "pepperlug/Support.h"

namespace pepperlug
{

struct Region {
    std::string name;
};

struct Zone {
    std::string name;
    RegionId region{};
    std::vector<HostId> hosts;
};

struct EntryHost {
    std::string name;
    ZoneId zone{};
    Address http; ///< where callers connect
    Address peer; ///< where other hosts of the system connect
    bool hasDisk = false; ///< keeps its claim ledger on a disk
};

struct Target {
    std::string name;
    ServiceId service{};
    ZoneId zone{};
    Address address;
    unsigned slots = 0; ///< requests it runs at once
    unsigned connections = 0; ///< connections it accepts
};

/// What may be done with a request a second time.
enum class RouteClass {
    Read, ///< may be retried and hedged
    Plain, ///< never retried once a byte may have reached a target
    Once, ///< runs at most once for each key
};
const char *nameOf(RouteClass cls);

struct Route {
    std::string method; ///< empty for any
    std::string prefix; ///< of the path within the service
    RouteClass cls = RouteClass::Plain;
};

struct Service {
    std::string name;
    std::vector<std::string> hostNames; ///< values of Host that mean this service
    std::vector<Route> routes; ///< the first that fits decides
    Milliseconds maxDeadline{};
    unsigned queue = 0; ///< requests that may wait for a slot at one entry host
    std::vector<TargetId> targets;

    /// Class of a request; Plain where no route fits.
    RouteClass classOf(const std::string &method, const std::string &path) const;
};

/// Growth of traffic from callers of one region into another region, in slots for each interval.
struct ShiftCap {
    RegionId from{};
    RegionId to{};
    unsigned slots = 0;
    Milliseconds interval{};
};

/// The most slots of region `to` that callers of region `from` may hold at once.
struct LinkLimit {
    RegionId from{};
    RegionId to{};
    unsigned slots = 0;
};

struct Operator {
    std::string name;
    std::string publicKey;
    bool mayPropose = false;
    bool maySign = false;
    bool mayDrain = false;
};

/// One-way times that hold until measured ones are known.
struct Latencies {
    std::chrono::microseconds sameZone{};
    std::chrono::microseconds sameRegion{};
    std::chrono::microseconds otherRegion{};
    std::chrono::microseconds client{};
};

/// Limits and times of the steering policy, all set by the bundle.
struct Policy {
    unsigned signaturesRequired = 1;
    Milliseconds lookupTtl{}; ///< how long callers may keep an answer
    Milliseconds leaseTime{}; ///< how long a capacity lease lasts
    double driftAllowance = 0; ///< largest relative error of a host's clock
    double ceiling = 1; ///< share of the slots that may be used
    unsigned lookupsPerSlot = 1; ///< cached look-up answers that count as one slot
    double retryShare = 0; ///< retries and hedges as a share of reads
    Milliseconds slowStart{}; ///< time in which a new target grows to its whole weight
    Milliseconds ejectTime{}; ///< how long a failing target is left out
    double ejectShare = 0; ///< share of a service's local targets that may be ejected at once
    Milliseconds claimTtl{}; ///< how long the result of a once-only operation is kept
};

/// Longest-prefix lookup from a caller's IP address to its availability zone.
class ClientMap
{
public:
    /// Adds one CIDR block. Returns the reason if it can't be read, nothing if all is well.
    std::optional<std::string> add(const std::string &block, ZoneId zone);
    /// Must be called once after the last add; returns a text for each block that was given twice.
    std::vector<std::string> build();
    /// Zone of the longest block that holds the address; nothing if none does or it is no IP address.
    std::optional<ZoneId> find(const std::string &ip) const;
    std::optional<ZoneId> findV4(std::uint32_t address) const;
    std::optional<ZoneId> findV6(std::uint64_t topHalf) const;
    std::size_t blocks() const;
    /// Bytes held by the built tables.
    std::size_t bytes() const;

private:
    template <typename Key>
    struct Prefix {
        Key start;
        std::uint8_t length;
        std::uint16_t zone;
    };

    template <typename Key>
    struct RangeTable {
        std::vector<Key> sampled; ///< first key of each run of RunLength keys
        std::vector<Key> starts;
        std::vector<std::uint16_t> zones;

        void build(std::vector<Prefix<Key>> prefixes, std::vector<std::string> &duplicates);
        std::optional<ZoneId> find(Key key) const;
        std::size_t bytes() const;
    };

    std::vector<Prefix<std::uint32_t>> m_prefixes4;
    std::vector<Prefix<std::uint64_t>> m_prefixes6;
    RangeTable<std::uint32_t> m_table4;
    RangeTable<std::uint64_t> m_table6;
    std::size_t m_blocks = 0;
};

struct Bundle {
    std::string owner;
    std::uint64_t version = 0;
    std::string digest; ///< of the whole text, comments included
    std::vector<Region> regions;
    std::vector<Zone> zones;
    std::vector<EntryHost> hosts;
    std::vector<Service> services;
    std::vector<Target> targets;
    std::vector<ShiftCap> shiftCaps;
    std::vector<LinkLimit> linkLimits;
    std::vector<Operator> operators;
    Latencies latencies;
    Policy policy;
    ClientMap clients;

    std::optional<ZoneId> findZone(const std::string &name) const;
    std::optional<HostId> findHost(const std::string &name) const;
    std::optional<ServiceId> findService(const std::string &name) const;
    std::optional<ServiceId> findServiceByHostName(const std::string &hostName) const;
    std::optional<TargetId> findTarget(const std::string &name) const;
    const Operator *findOperator(const std::string &name) const;
    RegionId regionOf(ZoneId zone) const;
    RegionId regionOf(HostId host) const;
    /// One-way time between two zones by the bundle.
    std::chrono::microseconds latency(ZoneId from, ZoneId to) const;
};
using BundlePtr = std::shared_ptr<const Bundle>;

/// Parses and checks a whole bundle. Throws InvalidInput with every finding; `file` is named in each.
BundlePtr parseBundle(const std::string &text, const std::string &file);

/// The text that an operator's signature on a bundle covers.
std::string signOffText(std::uint64_t version, const std::string &digest);

/// Headers that prove who sent a request to the administration API.
struct RequestProof {
    std::string operatorName;
    std::string time; ///< wall-clock milliseconds
    std::string nonce;
    std::string signature;
};
RequestProof proveRequest(const std::string &operatorName, const std::string &secretKey, Milliseconds wallTime,
                          const std::string &method, const std::string &path, const std::string &body);
/// Checks the signature only; the age of the time and the reuse of the nonce are the caller's to check.
bool checkProof(const RequestProof &proof, const std::string &publicKey, const std::string &method,
                const std::string &path, const std::string &body);

} // namespace pepperlug
