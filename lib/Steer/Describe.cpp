//===- Describe.cpp - Effects as JSON -------------------------------------===//
#include "pepperlug/Steer.h"

namespace pepperlug
{

namespace
{

// Has one overload per effect. Ids are replaced by names.
class Describer
{
public:
    explicit Describer(const Bundle *bundle)
        : m_bundle(bundle)
    {
    }

    nlohmann::json operator()(const AnswerLookup &it) const
    {
        nlohmann::json hosts = nlohmann::json::array();
        for (const HostId host : it.hosts) {
            hosts.push_back(name(host));
        }
        return {{"effect", "answer-lookup"}, {"request", number(it.id)}, {"hosts", hosts}};
    }

    nlohmann::json operator()(const Dispatch &it) const
    {
        return {
            {"effect", "dispatch"}, {"request", number(it.id)}, {"attempt", it.attempt}, {"target", name(it.target)}};
    }

    nlohmann::json operator()(const Forward &it) const
    {
        return {{"effect", "forward"},
                {"request", number(it.id)},
                {"attempt", it.attempt},
                {"host", name(it.host)},
                {"to_home", it.toOwner}};
    }

    nlohmann::json operator()(const CancelAttempt &it) const
    {
        return {{"effect", "cancel"}, {"request", number(it.id)}, {"attempt", it.attempt}};
    }

    nlohmann::json operator()(const RelayAnswer &it) const
    {
        return {{"effect", "finish"}, {"request", number(it.id)}, {"attempt", it.attempt}};
    }

    nlohmann::json operator()(const SendStoredAnswer &it) const
    {
        return {{"effect", "finish-stored"}, {"request", number(it.id)}};
    }

    nlohmann::json operator()(const Refuse &it) const
    {
        return {{"effect", "refuse"},
                {"request", number(it.id)},
                {"outcome", nameOf(it.outcome)},
                {"reason", nameOf(it.reason)},
                {"retry_after_ms", it.retryAfter.count()},
                {"peer", it.peer}};
    }

    nlohmann::json operator()(const SendLeaseRequest &it) const
    {
        return {{"effect", "ask-lease"}, {"host", name(it.issuer)}, {"sequence", it.request.sequence}};
    }

    nlohmann::json operator()(const GrantLease &it) const
    {
        nlohmann::json grants = nlohmann::json::array();
        for (const ServiceGrant &grant : it.grant.grants) {
            grants.push_back({{"service", grant.service}, {"amount", grant.amount}});
        }
        return {{"effect", "grant-lease"}, {"host", name(it.holder)}, {"grants", grants}};
    }

    nlohmann::json operator()(const SyncClaim &it) const
    {
        return {{"effect", "sync-claim"}, {"request", number(it.id)}, {"key", it.record.key}, {"awaited", it.awaited}};
    }

    nlohmann::json operator()(const Decision &it) const
    {
        nlohmann::json line{
            {"effect", "decision"},        {"request", number(it.id)},    {"kind", it.isLookup ? "lookup" : "request"},
            {"service", name(it.service)}, {"reason", nameOf(it.reason)}, {"capacity", it.capacity},
            {"committed", it.committed},   {"queued", it.queued}};
        if (it.callerZone) {
            line["caller_zone"] = name(*it.callerZone);
        }
        if (it.target) {
            line["target"] = name(*it.target);
            line["attempt"] = it.attempt;
        }
        if (it.host) {
            line["host"] = name(*it.host);
        }
        return line;
    }

    nlohmann::json operator()(const StateChange &it) const
    {
        return {{"effect", "state"}, {"what", it.what}, {"subject", it.subject}, {"detail", it.detail}};
    }

    nlohmann::json operator()(const StopReady &) const
    {
        return {{"effect", "stop-ready"}};
    }

private:
    static std::uint64_t number(RequestId id)
    {
        return static_cast<std::uint64_t>(id);
    }

    template <typename Item>
    static std::string nameAt(const std::vector<Item> &items, std::size_t n)
    {
        return n < items.size() ? items[n].name : std::to_string(n);
    }

    std::string name(HostId id) const
    {
        return m_bundle == nullptr ? std::string() : nameAt(m_bundle->hosts, idx(id));
    }

    std::string name(TargetId id) const
    {
        return m_bundle == nullptr ? std::string() : nameAt(m_bundle->targets, idx(id));
    }

    std::string name(ServiceId id) const
    {
        return m_bundle == nullptr ? std::string() : nameAt(m_bundle->services, idx(id));
    }

    std::string name(ZoneId id) const
    {
        return m_bundle == nullptr ? std::string() : nameAt(m_bundle->zones, idx(id));
    }

    const Bundle *m_bundle;
};

} // namespace

nlohmann::json describe(const Effect &effect, const Bundle *bundle)
{
    return std::visit(Describer(bundle), effect);
}

} // namespace pepperlug
