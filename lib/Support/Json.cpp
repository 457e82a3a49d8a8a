//===- Json.cpp - Checked reading of JSON with comments -------------------===//
#include "pepperlug/Support.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

namespace pepperlug
{

namespace
{

// The library keeps the last of two equal keys in silence; a setting given twice is a mistake worth naming.
class DuplicateKeyCheck
{
public:
    bool operator()(int, nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        if (event == Event::object_start) {
            m_open.emplace_back();
        } else if (event == Event::object_end) {
            m_open.pop_back();
        } else if (event == Event::key && !m_open.back().insert(parsed.get<std::string>()).second) {
            m_duplicates.push_back(parsed.get<std::string>());
        }
        return true;
    }

    const std::vector<std::string> &duplicates() const
    {
        return m_duplicates;
    }

private:
    std::vector<std::set<std::string>> m_open;
    std::vector<std::string> m_duplicates;
};

} // namespace

nlohmann::json parseJson(const std::string &text, const std::string &file)
{
    DuplicateKeyCheck check;
    nlohmann::json parsed;
    try {
        parsed = nlohmann::json::parse(
            text, [&check](int depth, auto event, auto &value) { return check(depth, event, value); }, true, true);
    } catch (const nlohmann::json::exception &ex) {
        throw InvalidInput({{file, "", ex.what()}});
    }
    Findings findings;
    for (const std::string &key : check.duplicates()) {
        findings.push_back({file, key, "key is given twice in one object"});
    }
    if (!findings.empty()) {
        throw InvalidInput(std::move(findings));
    }
    return parsed;
}

std::string readFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        throw Error("read file", file, "cannot be opened");
    }
    std::ostringstream buf;
    buf << in.rdbuf();
    if (in.bad()) {
        throw Error("read file", file, "read failed");
    }
    return buf.str();
}

ObjectReader::ObjectReader(const nlohmann::json &value, std::string path, std::string file, Findings &findings)
    : m_value(&value)
    , m_path(std::move(path))
    , m_file(std::move(file))
    , m_findings(&findings)
{
    if (!value.is_object()) {
        m_findings->push_back({m_file, m_path, "must be an object"});
        m_value = nullptr;
    }
}

const nlohmann::json *ObjectReader::find(const std::string &key, bool required)
{
    m_seen.push_back(key);
    if (m_value == nullptr) {
        return nullptr;
    }
    const auto it = m_value->find(key);
    if (it != m_value->end()) {
        return &*it;
    }
    if (required) {
        fault(key, "is missing");
    }
    return nullptr;
}

std::string ObjectReader::text(const std::string &key)
{
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        fault(key, "must be text that is not empty");
        return {};
    }
    return value->get<std::string>();
}

Address ObjectReader::address(const std::string &key)
{
    const std::string given = text(key);
    const std::optional<Address> parsed = Address::parse(given);
    if (!parsed && !given.empty()) {
        fault(key, "\"" + given + "\" is not an IP address and port");
    }
    return parsed.value_or(Address{});
}

std::string ObjectReader::textOr(const std::string &key, const std::string &fallback)
{
    if (!has(key)) {
        m_seen.push_back(key);
        return fallback;
    }
    return text(key);
}

std::int64_t ObjectReader::integer(const std::string &key, std::int64_t low, std::int64_t high,
                                   std::optional<std::int64_t> fallback)
{
    const nlohmann::json *value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(low);
    }
    const bool fits =
        value->is_number_integer() && (!value->is_number_unsigned() || value->get<std::uint64_t>() <= INT64_MAX);
    if (!fits || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
        fault(key, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return low;
    }
    return value->get<std::int64_t>();
}

double ObjectReader::number(const std::string &key, double low, double high, std::optional<double> fallback)
{
    const nlohmann::json *value = find(key, !fallback);
    if (value == nullptr) {
        return fallback.value_or(low);
    }
    if (!value->is_number() || value->get<double>() < low || value->get<double>() > high) {
        std::ostringstream text;
        text << "must be a number from " << low << " to " << high;
        fault(key, text.str());
        return low;
    }
    return value->get<double>();
}

bool ObjectReader::boolean(const std::string &key, bool fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fault(key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::optional<ObjectReader> ObjectReader::object(const std::string &key, bool required)
{
    const nlohmann::json *value = find(key, required);
    if (value == nullptr) {
        return std::nullopt;
    }
    return ObjectReader(*value, m_path + "/" + key, m_file, *m_findings);
}

std::vector<ObjectReader> ObjectReader::objects(const std::string &key, bool required)
{
    std::vector<ObjectReader> readers;
    const nlohmann::json *value = find(key, required);
    if (value == nullptr) {
        return readers;
    }
    if (!value->is_array()) {
        fault(key, "must be an array");
        return readers;
    }
    for (std::size_t n = 0; n < value->size(); ++n) {
        readers.emplace_back((*value)[n], m_path + "/" + key + "/" + std::to_string(n), m_file, *m_findings);
    }
    return readers;
}

std::vector<std::string> ObjectReader::texts(const std::string &key, bool required)
{
    std::vector<std::string> all;
    const nlohmann::json *value = find(key, required);
    if (value == nullptr) {
        return all;
    }
    if (!value->is_array()) {
        fault(key, "must be an array");
        return all;
    }
    for (const nlohmann::json &it : *value) {
        if (it.is_string()) {
            all.push_back(it.get<std::string>());
        } else {
            fault(key, "must hold texts only");
        }
    }
    return all;
}

void ObjectReader::finish()
{
    if (m_value == nullptr) {
        return;
    }
    for (const auto &[key, value] : m_value->items()) {
        if (std::find(m_seen.begin(), m_seen.end(), key) == m_seen.end()) {
            fault(key, "is not a known key");
        }
    }
}

void ObjectReader::fault(const std::string &key, const std::string &reason)
{
    m_findings->push_back({m_file, m_path + "/" + key, reason});
}

bool ObjectReader::has(const std::string &key) const
{
    return m_value != nullptr && m_value->contains(key);
}

const std::string &ObjectReader::path() const
{
    return m_path;
}

// Lines and answers are JSON, which holds no bytes that are not text.
std::string printable(std::string_view text, std::size_t longest)
{
    std::string told(text.substr(0, longest));
    std::replace_if(
        told.begin(), told.end(), [](unsigned char c) { return c < ' ' || c > '~'; }, '?');
    return told;
}

std::string jsonText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace pepperlug
