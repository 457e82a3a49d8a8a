//===- Settings.cpp - Settings of entry and control hosts -----------------===//
#include "pepperlug/Fleet.h"

namespace pepperlug::fleet
{

namespace
{

constexpr std::int64_t MaxBytes = 1LL << 30;
constexpr std::int64_t DefaultMaxBody = 64LL << 20;
constexpr std::int64_t DefaultMaxAnswer = 32LL << 20;
constexpr std::int64_t DefaultLogLines = 200;
constexpr std::int64_t MaxTargetsPerKey = 64;
constexpr std::int64_t MaxSpareConnections = 300; ///< that the HTTP client holds
constexpr std::int64_t MaxMemoryMb = 1LL << 24;
constexpr std::int64_t MaxDescriptors = 1LL << 24;
constexpr double MaxSeconds = 86400;
constexpr double MaxLinkMbps = 1e6;
constexpr double BitsPerMegabit = 1e6;
constexpr double BitsPerByte = 8;

Duration readSeconds(ObjectReader &reader, const std::string &key, double fallback)
{
    const std::chrono::duration<double> value(reader.number(key, 0, MaxSeconds, fallback));
    return std::chrono::duration_cast<Duration>(value);
}

FleetBounds readBounds(ObjectReader &reader)
{
    FleetBounds bounds;
    bounds.gracePeriod = readSeconds(reader, "grace_s", 6);
    bounds.acknowledgeTimeout = readSeconds(reader, "acknowledge_s", 4);
    bounds.retries.ratio = reader.number("retry_ratio", 0, 10, 0.1);
    bounds.retries.window = readSeconds(reader, "retry_window_s", 10);
    bounds.retries.slack = reader.number("retry_slack", 0, 1e6, 10);
    bounds.quotas.window = readSeconds(reader, "quota_window_s", 5);
    bounds.quotas.excess = reader.number("quota_excess", 0, 10, 0);
    bounds.quotas.slack = reader.number("quota_slack", 0, 1e6, 0);
    bounds.maxShift = reader.number("max_shift", 0, 1, 0.15);
    bounds.reportInterval = readSeconds(reader, "report_interval_s", 1.5);
    return bounds;
}

LossFollowing readLossFollowing(ObjectReader &reader, LossFollowing fallback)
{
    static const std::map<std::string, LossFollowing> Names{
        {"off", LossFollowing::Off}, {"paced", LossFollowing::Paced}, {"on", LossFollowing::On}};
    if (!reader.has("follow_losses")) {
        return fallback;
    }
    const std::string name = reader.text("follow_losses");
    const auto it = Names.find(name);
    if (it == Names.end() && !name.empty()) {
        reader.fault("follow_losses", "\"" + name + "\" is not one of \"off\", \"paced\" and \"on\"");
    }
    return it == Names.end() ? fallback : it->second;
}

BalancePolicy readPolicy(ObjectReader &reader)
{
    BalancePolicy policy;
    policy.targetsPerKey =
        static_cast<unsigned>(reader.integer("targets_per_key", 1, MaxTargetsPerKey, policy.targetsPerKey));
    policy.hashesRegions = reader.boolean("steady_regions", policy.hashesRegions);
    policy.lateDeadlineShare = reader.number("late_part", 0, 1, policy.lateDeadlineShare);
    policy.derivesRetryAfterFromQueue = reader.boolean("advise_by_queue", policy.derivesRetryAfterFromQueue);
    policy.schedulesReturns = reader.boolean("schedule_returns", policy.schedulesReturns);
    policy.reservesForUrgent = reader.boolean("reserve_for_urgent", policy.reservesForUrgent);
    policy.lossFollowing = readLossFollowing(reader, policy.lossFollowing);
    return policy;
}

void readZones(ObjectReader &reader, FleetSettings &settings)
{
    for (ObjectReader &zone : reader.objects("zones")) {
        const std::string name = zone.text("name");
        settings.regionOfZone[name] = zone.text("region");
        zone.finish();
    }
}

void readSeeds(ObjectReader &reader, FleetSettings &settings)
{
    for (const std::string &text : reader.texts("seeds")) {
        const std::optional<Address> address = Address::parse(text);
        if (address) {
            settings.seeds.push_back(*address);
        } else {
            reader.fault("seeds", "\"" + text + "\" is not an IP address and port");
        }
    }
}

} // namespace

FleetSettings parseFleetSettings(const std::string &text, const std::string &file, FleetRole role)
{
    Findings findings;
    const nlohmann::json json = parseJson(text, file);
    ObjectReader reader(json, "", file, findings);
    FleetSettings settings;
    settings.name = reader.text("name");
    settings.zone = reader.text("zone");
    readZones(reader, settings);
    settings.peer = reader.address("peer");
    if (reader.has("peer_listen")) {
        settings.peerListen = reader.address("peer_listen");
    }
    settings.metrics = reader.address("metrics");
    readSeeds(reader, settings);
    if (std::optional<ObjectReader> bounds = reader.object("bounds", false)) {
        settings.bounds = readBounds(*bounds);
        bounds->finish();
    }
    settings.features = reader.texts("features", false);
    settings.logLinesPerSecond = static_cast<unsigned>(reader.integer("log_lines_per_s", 0, 1000000, DefaultLogLines));
    settings.memoryMb = static_cast<std::uint64_t>(reader.integer("memory_mb", 0, MaxMemoryMb, 0));
    settings.maxDescriptors = static_cast<std::size_t>(reader.integer("max_descriptors", 0, MaxDescriptors, 0));
    if (role == FleetRole::Entry) {
        if (std::optional<ObjectReader> policy = reader.object("policy", false)) {
            settings.policy = readPolicy(*policy);
            policy->finish();
        }
        settings.callers = reader.address("callers");
        settings.readiness = reader.address("readiness");
        settings.maxBodyBytes = static_cast<std::size_t>(reader.integer("max_body_bytes", 0, MaxBytes, DefaultMaxBody));
        settings.maxAnswerBytes =
            static_cast<std::size_t>(reader.integer("max_answer_bytes", 1024, MaxBytes, DefaultMaxAnswer));
        settings.maxUnsizedAnswerBytes = static_cast<std::size_t>(
            reader.integer("max_unsized_answer_bytes", 1024, MaxBytes, settings.maxUnsizedAnswerBytes));
        settings.spareConnections =
            static_cast<std::size_t>(reader.integer("spare_connections", 0, MaxSpareConnections, 0));
        const double linkMbps = reader.number("link_mbps", 0, MaxLinkMbps, 0);
        settings.linkBytesPerSecond = static_cast<std::uint64_t>(linkMbps * BitsPerMegabit / BitsPerByte);
    } else {
        settings.operators = reader.address("operators");
        settings.directory = reader.address("directory");
        settings.dataFolder = reader.text("data_folder");
        settings.isFirstStart = reader.boolean("first_start", false);
    }
    reader.finish();
    if (!settings.regionOfZone.contains(settings.zone) && findings.empty()) {
        findings.push_back({file, "zone", "\"" + settings.zone + "\" is not a name in \"zones\""});
    }
    if (!findings.empty()) {
        throw InvalidInput(findings);
    }
    return settings;
}

} // namespace pepperlug::fleet
