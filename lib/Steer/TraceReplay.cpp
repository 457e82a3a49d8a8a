//===- TraceReplay.cpp - Replay of traces against expected outcomes -------===//
#include "Trace.h"

#include <algorithm>

namespace pepperlug
{

namespace
{

using nlohmann::json;

// Replays a trace and checks its expected outcomes. An "expect" line applies to the effects of the last event or to the
// state after it, an "always" line to the state after every event that follows.
class TraceReplay
{
public:
    explicit TraceReplay(std::string file)
        : m_file(std::move(file))
    {
    }

    void run(const std::vector<std::string> &lines)
    {
        for (std::size_t n = 0; n < lines.size(); ++n) {
            m_line = n + 1;
            if (lines[n].empty()) {
                continue;
            }
            try {
                apply(json::parse(lines[n]));
            } catch (const json::exception &ex) {
                fail(ex.what());
            }
        }
    }

    std::size_t metOutcomes() const
    {
        return m_metOutcomes;
    }

private:
    [[noreturn]] void fail(const std::string &reason) const
    {
        throw Error("replay", m_file + ":" + std::to_string(m_line), reason);
    }

    void apply(const json &line)
    {
        if (line.contains("settings")) {
            start(line);
        } else if (!m_steering) {
            fail("expected a line with \"settings\" first");
        } else if (line.contains("event")) {
            m_effects.clear();
            const Event event = readEvent(line, m_file);
            countArrival(event);
            m_steering->reduce(event, readTime(line, "at"), m_effects);
            countEnds();
            checkAlways();
        } else if (line.contains("expect")) {
            expect(line);
            ++m_metOutcomes;
        } else if (line.contains("always")) {
            m_always.push_back(line.at("always"));
        } else {
            fail("expected a line with \"settings\", \"event\", \"expect\" or \"always\"");
        }
    }

    void start(const json &line)
    {
        const json &it = line.at("settings");
        SteerSettings settings;
        settings.hostName = it.at("host").get<std::string>();
        settings.ledgerId = it.at("ledger").get<std::string>();
        settings.syncClaims = it.at("sync_claims").get<bool>();
        settings.seed = it.at("seed").get<std::uint64_t>();
        settings.tick = Duration(it.at("tick_ns").get<std::int64_t>());
        m_steering.emplace(settings, readTime(line, "at"));
    }

    void countArrival(const Event &event)
    {
        if (const auto *request = std::get_if<RequestArrived>(&event)) {
            ++m_openRequests[idx(request->id)];
        }
    }

    void countEnds()
    {
        for (const Effect &effect : m_effects) {
            if (const auto *finish = std::get_if<RelayAnswer>(&effect)) {
                endRequest(idx(finish->id));
            } else if (const auto *stored = std::get_if<SendStoredAnswer>(&effect)) {
                endRequest(idx(stored->id));
            } else if (const auto *refuse = std::get_if<Refuse>(&effect)) {
                endRequest(idx(refuse->id));
            }
        }
    }

    void endRequest(std::size_t id)
    {
        const auto it = m_openRequests.find(id);
        if (it == m_openRequests.end()) {
            return; // a look-up
        }
        if (it->second == 0) {
            fail("request " + std::to_string(id) + " ended twice");
        }
        it->second = 0;
    }

    void checkAlways()
    {
        for (const json &it : m_always) {
            checkView(it);
        }
    }

    void expect(const json &line)
    {
        const auto kind = line.at("expect").get<std::string>();
        if (kind == "effect") {
            expectEffect(line.at("fields"));
        } else if (kind == "no-effect") {
            expectNoEffect(line.at("fields"));
        } else if (kind == "view") {
            checkView(line);
        } else if (kind == "all-ended") {
            const bool isOpen =
                std::any_of(m_openRequests.begin(), m_openRequests.end(), [](const auto &it) { return it.second > 0; });
            if (isOpen) {
                fail("a request never ended");
            }
        } else {
            fail("\"" + kind + "\" is not a known kind of outcome");
        }
    }

    bool matches(const Effect &effect, const json &fields) const
    {
        const json described = describe(effect, m_steering->bundle());
        return std::all_of(fields.items().begin(), fields.items().end(), [&](const auto &it) {
            return described.contains(it.key()) && described.at(it.key()) == it.value();
        });
    }

    void expectEffect(const json &fields)
    {
        if (std::none_of(m_effects.begin(), m_effects.end(), [&](const Effect &it) { return matches(it, fields); })) {
            fail("expected an effect with " + jsonText(fields));
        }
    }

    void expectNoEffect(const json &fields)
    {
        if (std::any_of(m_effects.begin(), m_effects.end(), [&](const Effect &it) { return matches(it, fields); })) {
            fail("expected no effect with " + jsonText(fields));
        }
    }

    void checkView(const json &it)
    {
        if (m_steering->bundle() == nullptr) {
            return;
        }
        const auto service = m_steering->bundle()->findService(it.at("service").get<std::string>());
        if (!service) {
            fail("\"service\" is not a service of the bundle");
        }
        const ServiceView view = m_steering->view(*service);
        const std::map<std::string, unsigned> fields{{"slice", view.sliceSlots},   {"capacity", view.capacity},
                                                     {"in_flight", view.inFlight}, {"committed", view.committed},
                                                     {"lent", view.lent},          {"held", view.held},
                                                     {"queued", view.queued}};
        const auto field = fields.find(it.at("field").get<std::string>());
        if (field == fields.end()) {
            fail("\"field\" is not a field of a service view");
        }
        const unsigned limit = it.contains("at_most_field") ? fields.at(it.at("at_most_field").get<std::string>())
                                                            : it.at("at_most").get<unsigned>();
        if (field->second > limit) {
            fail(field->first + " is " + std::to_string(field->second) + ", more than " + std::to_string(limit));
        }
    }

    std::string m_file;
    std::size_t m_line = 0;
    std::size_t m_metOutcomes = 0;
    std::optional<Steering> m_steering;
    Effects m_effects;
    std::vector<json> m_always;
    std::map<std::size_t, unsigned> m_openRequests;
};

} // namespace

std::size_t replayTrace(const std::vector<std::string> &lines, const std::string &file)
{
    TraceReplay replay(file);
    replay.run(lines);
    return replay.metOutcomes();
}

} // namespace pepperlug
