//===- Explain.cpp - A request's way through the logs ---------------------===//
#include "pepperlug/Explain.h"

#include <algorithm>
#include <set>

namespace pepperlug
{

namespace
{

/// Fields that have a place of their own, or say the same on each line.
constexpr std::array<std::string_view, 5> PlacedFields{"at_ms", "process", "what", "kind", "request"};

std::vector<nlohmann::json> readLines(const std::vector<std::string> &lines)
{
    std::vector<nlohmann::json> objects;
    for (const std::string &line : lines) {
        // Collected logs often have a prefix; the object begins at its first brace.
        const std::size_t start = line.find('{');
        if (start == std::string::npos) {
            continue;
        }
        nlohmann::json object = nlohmann::json::parse(line.substr(start), nullptr, false);
        if (object.is_object() && object.contains("at_ms") && object.contains("what")) {
            objects.push_back(std::move(object));
        }
    }
    return objects;
}

bool isTroubleAt(const nlohmann::json &line)
{
    const std::string what = line.at("what");
    const bool endedBadly = what == "attempt-ended" && line.value("outcome", "") != "answered";
    const bool leftOut =
        what == "target" && (line.value("silent", false) || line.value("presence", "ready") != "ready");
    return endedBadly || leftOut || what == "refused" || what == "answer-cut" || what == "answer-replaced";
}

ExplainedStep stepOf(const nlohmann::json &line)
{
    ExplainedStep step;
    step.at = Milliseconds(line.at("at_ms").get<std::int64_t>());
    step.process = line.value("process", "");
    step.what = line.at("what");
    step.isTrouble = isTroubleAt(line);
    for (const auto &[name, value] : line.items()) {
        const bool isPlaced = std::find(PlacedFields.begin(), PlacedFields.end(), name) != PlacedFields.end();
        if (!isPlaced) {
            step.details += (step.details.empty() ? "" : " ") + name + "="
                + (value.is_string() ? value.get<std::string>() : jsonText(value));
        }
    }
    return step;
}

} // namespace

Explanation explainRequest(const std::string &id, const std::vector<std::string> &lines, Milliseconds before)
{
    const std::vector<nlohmann::json> objects = readLines(lines);
    std::set<std::string> targets;
    std::optional<Milliseconds> first;
    std::optional<Milliseconds> last;
    for (const nlohmann::json &line : objects) {
        if (line.value("request", "") != id) {
            continue;
        }
        const Milliseconds at(line.at("at_ms").get<std::int64_t>());
        first = std::min(first.value_or(at), at);
        last = std::max(last.value_or(at), at);
        const std::string target = line.value("target", "");
        if (!target.empty()) {
            targets.insert(target);
        }
    }
    Explanation explanation;
    for (const nlohmann::json &line : objects) {
        const Milliseconds at(line.at("at_ms").get<std::int64_t>());
        const bool isOfRequest = line.value("request", "") == id;
        const bool isOfTarget = line.value("kind", "") == "state" && targets.contains(line.value("target", "")) && first
            && at >= *first - before && at <= *last;
        if (isOfRequest || isOfTarget) {
            explanation.steps.push_back(stepOf(line));
        }
    }
    std::stable_sort(explanation.steps.begin(), explanation.steps.end(),
                     [](const ExplainedStep &lhs, const ExplainedStep &rhs) { return lhs.at < rhs.at; });
    const auto trouble = std::find_if(explanation.steps.begin(), explanation.steps.end(),
                                      [](const ExplainedStep &step) { return step.isTrouble; });
    if (trouble != explanation.steps.end()) {
        explanation.firstTrouble = static_cast<std::size_t>(trouble - explanation.steps.begin());
    }
    return explanation;
}

std::string textOf(const Explanation &explanation)
{
    if (explanation.steps.empty()) {
        return "no line bears this id\n";
    }
    std::string text;
    const Milliseconds begun = explanation.steps.front().at;
    for (std::size_t n = 0; n < explanation.steps.size(); ++n) {
        const ExplainedStep &step = explanation.steps[n];
        const bool isFirstTrouble = explanation.firstTrouble == n;
        text += "+" + std::to_string((step.at - begun).count()) + " ms  " + step.process + "  " + step.what + "  "
            + step.details + (isFirstTrouble ? "   <- the first thing that went wrong" : "") + "\n";
    }
    return text;
}

} // namespace pepperlug
