//===- Platform.cpp - How the scores on the users' platform went ----------===//
//
// Reads the journal of plays and prints a row for each score, so that a reader sees which change moved it.
//
//===----------------------------------------------------------------------===//
#include "Measures.h"

#include <algorithm>
#include <filesystem>
#include <iostream>

namespace pepperlug
{

namespace
{

constexpr std::size_t CommitLength = 8;

struct ScoreRow {
    std::string at;
    std::string site;
    double score = 0;
    std::string worstDay;
    std::string commit; ///< that the change was made upon
    std::string why;
};

std::optional<ScoreRow> readRow(const std::string &file)
{
    const nlohmann::json entry = parseJson(readFile(file), file);
    if (entry.value("cmd", "") != "score" || !entry.at("score").is_number()) {
        return std::nullopt;
    }
    ScoreRow row;
    row.at = entry.at("at").at(0).get<std::string>();
    row.site = entry.at("site").get<std::string>();
    row.score = entry.at("score").get<double>();
    row.commit = entry.at("head").get<std::string>().substr(0, CommitLength);
    row.why = entry.at("why").get<std::string>();
    double worst = 1;
    for (const nlohmann::json &day : entry.at("days")) {
        const double score = day.at("score").is_number() ? day.at("score").get<double>() : 0;
        if (row.worstDay.empty() || score < worst) {
            worst = score;
            row.worstDay = day.at("name").get<std::string>() + " " + fixed(score, 2);
        }
    }
    return row;
}

} // namespace

ExitCode measurePlatform(const MeasureContext &context)
{
    const std::string folder = context.words.size() > 1 ? context.words[1] : "journal";
    std::vector<ScoreRow> rows;
    for (const auto &it : std::filesystem::directory_iterator(folder)) {
        if (it.path().extension() != ".json") {
            continue;
        }
        if (std::optional<ScoreRow> row = readRow(it.path())) {
            rows.push_back(std::move(*row));
        }
    }
    std::sort(rows.begin(), rows.end(), [](const ScoreRow &lhs, const ScoreRow &rhs) {
        return std::tie(lhs.site, lhs.at) < std::tie(rhs.site, rhs.at);
    });
    std::cout << "| at | site | score | worst day | upon commit | change |\n|---|---|---|---|---|---|\n";
    for (const ScoreRow &row : rows) {
        std::cout << "| " << row.at << " | " << row.site << " | " << fixed(row.score, 3) << " | " << row.worstDay
                  << " | " << row.commit << " | " << row.why << " |\n";
    }
    return ExitCode::Success;
}

} // namespace pepperlug
