//===- Parse.cpp - Reading and checking a bundle --------------------------===//
//
// All findings are gathered before any is reported, since an operator who mends a bundle wants the whole list.
// Reading resolves names to ids; checking then asks whether the numbers can hold together.
//
//===----------------------------------------------------------------------===//
#include "pepperlug/Bundle.h"

#include <algorithm>
#include <set>

namespace pepperlug
{

namespace
{

constexpr std::int64_t MaxSlots = 10000;
constexpr std::int64_t MaxConnections = 100000;
constexpr std::int64_t MaxMilliseconds = 24LL * 3600 * 1000;

std::chrono::microseconds toMicroseconds(double milliseconds)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
}

class BundleParser
{
public:
    BundleParser(const std::string &text, std::string file)
        : m_file(std::move(file))
        , m_json(parseJson(text, m_file))
    {
        m_bundle->digest = digestHex(text);
    }

    BundlePtr parse()
    {
        ObjectReader root(m_json, "", m_file, m_findings);
        m_bundle->owner = root.text("owner");
        m_bundle->version = static_cast<std::uint64_t>(root.integer("version", 1, INT64_MAX));
        readPolicy(root);
        readLatencies(root);
        readRegions(root);
        readHosts(root);
        readServices(root);
        readShiftCaps(root);
        readLinkLimits(root);
        readOperators(root);
        readClients(root);
        root.finish();
        if (m_findings.empty()) {
            checkCapacities();
        }
        if (!m_findings.empty()) {
            throw InvalidInput(std::move(m_findings));
        }
        return m_bundle;
    }

private:
    void fault(const std::string &path, const std::string &reason)
    {
        m_findings.push_back({m_file, path, reason});
    }

    std::string uniqueName(ObjectReader &reader, std::set<std::string> &taken, const char *key = "name")
    {
        std::string name = reader.text(key);
        if (!name.empty() && !taken.insert(name).second) {
            reader.fault(key, "\"" + name + "\" is given twice");
        }
        return name;
    }

    Address address(ObjectReader &reader, const std::string &key)
    {
        Address address = reader.address(key);
        if (address != Address{} && !m_addresses.insert(address).second) {
            reader.fault(key, "address " + address.text() + " is given twice");
        }
        return address;
    }

    ZoneId zoneRef(ObjectReader &reader, const std::string &key)
    {
        const std::string name = reader.text(key);
        const std::optional<ZoneId> zone = m_bundle->findZone(name);
        if (!zone && !name.empty()) {
            reader.fault(key, "no availability zone is named \"" + name + "\"");
        }
        return zone.value_or(ZoneId{});
    }

    RegionId regionRef(ObjectReader &reader, const std::string &key)
    {
        const std::string name = reader.text(key);
        const auto &regions = m_bundle->regions;
        const auto it = std::find_if(regions.begin(), regions.end(), [&](const Region &r) { return r.name == name; });
        if (it == regions.end()) {
            if (!name.empty()) {
                reader.fault(key, "no region is named \"" + name + "\"");
            }
            return RegionId{};
        }
        return makeId<RegionId>(static_cast<std::size_t>(it - regions.begin()));
    }

    Milliseconds milliseconds(ObjectReader &reader, const std::string &key, std::int64_t low, std::int64_t fallback)
    {
        return Milliseconds(reader.integer(key, low, MaxMilliseconds, fallback));
    }

    void readPolicy(ObjectReader &root)
    {
        if (std::optional<ObjectReader> reader = root.object("policy")) {
            Policy &policy = m_bundle->policy;
            policy.signaturesRequired = static_cast<unsigned>(reader->integer("signatures_required", 1, 16, 1));
            policy.lookupTtl = milliseconds(*reader, "lookup_ttl_ms", 100, 2000);
            policy.leaseTime = milliseconds(*reader, "lease_ms", 100, 2000);
            policy.driftAllowance = reader->number("clock_drift", 0, 0.5, 0.1);
            policy.ceiling = reader->number("ceiling", 0.05, 1, 1);
            policy.lookupsPerSlot = static_cast<unsigned>(reader->integer("lookups_per_slot", 1, 100000, 20));
            policy.retryShare = reader->number("retry_share", 0, 1, 0.05);
            policy.slowStart = milliseconds(*reader, "slow_start_ms", 0, 5000);
            policy.ejectTime = milliseconds(*reader, "eject_ms", 1, 5000);
            policy.ejectShare = reader->number("eject_share", 0, 1, 0.5);
            policy.claimTtl = milliseconds(*reader, "claim_ttl_ms", 1000, 600000);
            reader->finish();
        }
    }

    void readLatencies(ObjectReader &root)
    {
        if (std::optional<ObjectReader> reader = root.object("latency")) {
            Latencies &latencies = m_bundle->latencies;
            latencies.sameZone = toMicroseconds(reader->number("same_zone_ms", 0, 10000, 0.1));
            latencies.sameRegion = toMicroseconds(reader->number("same_region_ms", 0, 10000));
            latencies.otherRegion = toMicroseconds(reader->number("other_region_ms", 0, 10000));
            latencies.client = toMicroseconds(reader->number("client_ms", 0, 10000));
            reader->finish();
        }
    }

    void readRegions(ObjectReader &root)
    {
        std::set<std::string> regionNames;
        std::set<std::string> zoneNames;
        for (ObjectReader &reader : root.objects("regions")) {
            const RegionId region = makeId<RegionId>(m_bundle->regions.size());
            m_bundle->regions.push_back({uniqueName(reader, regionNames)});
            for (const std::string &zone : reader.texts("zones")) {
                if (!zoneNames.insert(zone).second) {
                    reader.fault("zones", "\"" + zone + "\" is given twice");
                }
                m_bundle->zones.push_back({zone, region, {}});
            }
            reader.finish();
        }
    }

    void readHosts(ObjectReader &root)
    {
        std::set<std::string> names;
        for (ObjectReader &reader : root.objects("entry_hosts")) {
            EntryHost host;
            host.name = uniqueName(reader, names);
            host.zone = zoneRef(reader, "zone");
            host.http = address(reader, "http");
            host.peer = address(reader, "peer");
            host.hasDisk = reader.boolean("disk", false);
            reader.finish();
            if (idx(host.zone) < m_bundle->zones.size()) {
                m_bundle->zones[idx(host.zone)].hosts.push_back(makeId<HostId>(m_bundle->hosts.size()));
            }
            m_bundle->hosts.push_back(std::move(host));
        }
    }

    RouteClass routeClass(ObjectReader &reader)
    {
        const std::string text = reader.text("class");
        for (const RouteClass cls : {RouteClass::Read, RouteClass::Plain, RouteClass::Once}) {
            if (text == nameOf(cls)) {
                return cls;
            }
        }
        reader.fault("class", "must be \"read\", \"plain\" or \"once\"");
        return RouteClass::Plain;
    }

    void readServices(ObjectReader &root)
    {
        std::set<std::string> names;
        std::set<std::string> hostNames;
        std::set<std::string> targetNames;
        for (ObjectReader &reader : root.objects("services")) {
            Service service;
            service.name = uniqueName(reader, names);
            service.hostNames = reader.texts("host_names", false);
            for (const std::string &it : service.hostNames) {
                if (!hostNames.insert(it).second) {
                    reader.fault("host_names", "\"" + it + "\" is given twice");
                }
            }
            service.maxDeadline = milliseconds(reader, "max_deadline_ms", 1, 10000);
            service.queue = static_cast<unsigned>(reader.integer("queue", 0, 100000, 16));
            for (ObjectReader &route : reader.objects("routes")) {
                service.routes.push_back({route.textOr("method", ""), route.text("prefix"), routeClass(route)});
                route.finish();
            }
            const ServiceId id = makeId<ServiceId>(m_bundle->services.size());
            for (ObjectReader &target : reader.objects("targets")) {
                service.targets.push_back(makeId<TargetId>(m_bundle->targets.size()));
                readTarget(target, id, targetNames);
            }
            reader.finish();
            m_bundle->services.push_back(std::move(service));
        }
    }

    void readTarget(ObjectReader &reader, ServiceId service, std::set<std::string> &names)
    {
        Target target;
        target.service = service;
        target.name = uniqueName(reader, names);
        target.zone = zoneRef(reader, "zone");
        target.address = address(reader, "address");
        target.slots = static_cast<unsigned>(reader.integer("slots", 1, MaxSlots));
        target.connections = static_cast<unsigned>(reader.integer("connections", 1, MaxConnections));
        if (target.slots > target.connections) {
            reader.fault("slots", "cannot be more than connections");
        }
        reader.finish();
        m_bundle->targets.push_back(std::move(target));
    }

    template <typename Limit>
    void readPair(ObjectReader &reader, Limit &limit, std::set<std::pair<RegionId, RegionId>> &pairs)
    {
        limit.from = regionRef(reader, "from");
        limit.to = regionRef(reader, "to");
        if (!pairs.insert({limit.from, limit.to}).second) {
            reader.fault("to", "this pair of regions is given twice");
        }
        if (limit.from == limit.to) {
            reader.fault("to", "must be another region than \"from\"");
        }
        limit.slots = static_cast<unsigned>(reader.integer("slots", 0, MaxSlots * MaxSlots));
    }

    void readShiftCaps(ObjectReader &root)
    {
        std::set<std::pair<RegionId, RegionId>> pairs;
        for (ObjectReader &reader : root.objects("shift_caps", false)) {
            ShiftCap cap;
            readPair(reader, cap, pairs);
            cap.interval = milliseconds(reader, "interval_ms", 1, 1000);
            reader.finish();
            m_bundle->shiftCaps.push_back(cap);
        }
    }

    void readLinkLimits(ObjectReader &root)
    {
        std::set<std::pair<RegionId, RegionId>> pairs;
        for (ObjectReader &reader : root.objects("link_limits", false)) {
            LinkLimit limit;
            readPair(reader, limit, pairs);
            reader.finish();
            m_bundle->linkLimits.push_back(limit);
        }
    }

    void readOperators(ObjectReader &root)
    {
        std::set<std::string> names;
        for (ObjectReader &reader : root.objects("operators")) {
            Operator who;
            who.name = uniqueName(reader, names);
            who.publicKey = reader.text("public_key");
            if (!isHex(who.publicKey, 32)) {
                reader.fault("public_key", "must be 32 bytes of lower-case hex");
            }
            for (const std::string &role : reader.texts("roles")) {
                who.mayPropose |= role == "propose";
                who.maySign |= role == "sign";
                who.mayDrain |= role == "drain";
                if (role != "propose" && role != "sign" && role != "drain") {
                    reader.fault("roles", "\"" + role + "\" is not \"propose\", \"sign\" or \"drain\"");
                }
            }
            reader.finish();
            m_bundle->operators.push_back(std::move(who));
        }
    }

    void readClients(ObjectReader &root)
    {
        for (ObjectReader &reader : root.objects("client_blocks", false)) {
            const ZoneId zone = zoneRef(reader, "zone");
            for (const std::string &block : reader.texts("blocks")) {
                if (const auto reason = m_bundle->clients.add(block, zone)) {
                    reader.fault("blocks", *reason);
                }
            }
            reader.finish();
        }
        for (const std::string &duplicate : m_bundle->clients.build()) {
            fault("/client_blocks", duplicate);
        }
    }

    void checkCapacities();
    void checkZones();
    void checkLimits();
    void checkSigners();

    std::string m_file;
    nlohmann::json m_json;
    Findings m_findings;
    std::set<Address> m_addresses;
    std::shared_ptr<Bundle> m_bundle = std::make_shared<Bundle>();
};

unsigned regionSlots(const Bundle &bundle, RegionId region)
{
    unsigned slots = 0;
    for (const Target &target : bundle.targets) {
        slots += bundle.regionOf(target.zone) == region ? target.slots : 0;
    }
    return slots;
}

void BundleParser::checkCapacities()
{
    checkZones();
    checkLimits();
    checkSigners();
}

// Only entry hosts of a target's own zone may talk to it, so a zone with targets and no host would be dead capacity,
// and a host whose slice holds less than one slot could never admit anything.
void BundleParser::checkZones()
{
    for (std::size_t zone = 0; zone < m_bundle->zones.size(); ++zone) {
        const std::size_t hosts = m_bundle->zones[zone].hosts.size();
        for (std::size_t service = 0; service < m_bundle->services.size(); ++service) {
            unsigned slots = 0;
            for (const TargetId id : m_bundle->services[service].targets) {
                slots += idx(m_bundle->targets[idx(id)].zone) == zone ? m_bundle->targets[idx(id)].slots : 0;
            }
            const std::string place = "\"" + m_bundle->zones[zone].name + "\"";
            const std::string path = "/services/" + std::to_string(service) + "/targets";
            if (slots > 0 && hosts == 0) {
                fault(path, "availability zone " + place + " has targets and no entry host that may reach them");
            } else if (slots > 0
                       && static_cast<double>(slots) * m_bundle->policy.ceiling < static_cast<double>(hosts)) {
                fault(path, "availability zone " + place + " has fewer usable slots than entry hosts");
            }
        }
    }
}

void BundleParser::checkLimits()
{
    for (std::size_t n = 0; n < m_bundle->shiftCaps.size(); ++n) {
        const ShiftCap &cap = m_bundle->shiftCaps[n];
        if (cap.slots > regionSlots(*m_bundle, cap.to)) {
            fault("/shift_caps/" + std::to_string(n) + "/slots", "is more than all slots of the region it leads to");
        }
    }
    for (std::size_t n = 0; n < m_bundle->linkLimits.size(); ++n) {
        const LinkLimit &limit = m_bundle->linkLimits[n];
        if (limit.slots > regionSlots(*m_bundle, limit.to)) {
            fault("/link_limits/" + std::to_string(n) + "/slots", "is more than all slots of the region it leads to");
        }
    }
}

void BundleParser::checkSigners()
{
    const auto signers = static_cast<std::size_t>(std::count_if(m_bundle->operators.begin(), m_bundle->operators.end(),
                                                                [](const Operator &who) { return who.maySign; }));
    const bool authorMaySign = std::any_of(m_bundle->operators.begin(), m_bundle->operators.end(),
                                           [](const Operator &who) { return who.maySign && who.mayPropose; });
    const std::size_t available = authorMaySign ? signers - 1 : signers;
    if (available < m_bundle->policy.signaturesRequired) {
        fault("/policy/signatures_required",
              "only " + std::to_string(available) + " operators besides the author may sign");
    }
}

} // namespace

BundlePtr parseBundle(const std::string &text, const std::string &file)
{
    return BundleParser(text, file).parse();
}

} // namespace pepperlug
