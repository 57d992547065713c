#include "Profile.h"

#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <functional>
#include <map>
#include <sstream>

namespace Loadtool {

using Model::Milliseconds;
using Model::ResultCode;

namespace {

const std::string sectionPrefix = "stream ";

bool readNumber(const std::string &text, double &value)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

using Setter = std::function<bool(Stream &, const std::string &)>;

template <typename Apply>
Setter numberSetter(Apply apply)
{
    return [apply](Stream &stream, const std::string &text) {
        double value = 0;
        if (!readNumber(text, value))
            return false;
        apply(stream, value);
        return true;
    };
}

template <typename Apply>
Setter booleanSetter(Apply apply)
{
    return [apply](Stream &stream, const std::string &text) {
        apply(stream, text == "yes");
        return text == "yes" || text == "no";
    };
}

template <typename Apply>
Setter textSetter(Apply apply)
{
    return [apply](Stream &stream, const std::string &text) {
        apply(stream, text);
        return !text.empty();
    };
}

Milliseconds milliseconds(double value)
{
    return Milliseconds(static_cast<long long>(value));
}

const std::map<std::string, Setter> &setters()
{
    static const std::map<std::string, Setter> table = {
        {"service", textSetter([](auto &s, auto &v) {
             s.service_ = Model::ServiceId(v);
         })},
        {"caller", textSetter([](auto &s, auto &v) {
             s.callerPrefix_ = v;
         })},
        {"callers", numberSetter([](auto &s, double v) {
             s.callers_ = std::max(1, int(v));
         })},
        {"rate", numberSetter([](auto &s, double v) {
             s.rate_ = Model::RequestsPerSecond(v);
         })},
        {"post", booleanSetter([](auto &s, bool v) {
             s.isPost_ = v;
         })},
        {"key", booleanSetter([](auto &s, bool v) {
             s.hasKey_ = v;
         })},
        {"repeats", numberSetter([](auto &s, double v) {
             s.maxRetries_ = int(v);
         })},
        {"origin", textSetter([](auto &s, auto &v) {
             s.origin_ = Model::RegionId(v);
         })},
        {"source", textSetter([](auto &s, auto &v) {
             s.source_ = v;
         })},
        {"timeout_ms", numberSetter([](auto &s, double v) {
             s.timeout_ = milliseconds(v);
         })},
        {"body_bytes", numberSetter([](auto &s, double v) {
             s.bodyBytes_ = std::size_t(v);
         })},
        {"from_ms", numberSetter([](auto &s, double v) {
             s.from_ = milliseconds(v);
         })},
        {"until_ms", numberSetter([](auto &s, double v) {
             s.until_ = milliseconds(v);
         })},
        {"delay_ms", numberSetter([](auto &s, double v) {
             s.delay_ = milliseconds(v);
         })},
    };
    return table;
}

} // namespace

std::optional<std::vector<Stream>> streamsFromText(const std::string &text, Milliseconds duration)
{
    boost::property_tree::ptree tree;
    std::istringstream file(text);
    try {
        boost::property_tree::read_ini(file, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return Model::fail(ResultCode::SettingsUnreadable,
                           "line " + std::to_string(error.line()) + ": " + error.message());
    }
    std::vector<Stream> streams;
    for (const auto &[section, keys] : tree) {
        if (!section.starts_with(sectionPrefix))
            return Model::fail(ResultCode::SettingsUnknownKey, "[" + section + "]");
        Stream stream;
        stream.name_ = section.substr(sectionPrefix.size());
        stream.until_ = duration;
        for (const auto &[key, value] : keys) {
            const auto setter = setters().find(key);
            if (setter == setters().end())
                return Model::fail(ResultCode::SettingsUnknownKey, "[" + section + "] " + key);
            if (!setter->second(stream, value.data())) {
                return Model::fail(ResultCode::SettingsBadValue,
                                   "[" + section + "] " + key + " = " + value.data());
            }
        }
        streams.push_back(std::move(stream));
    }
    return streams;
}

} // namespace Loadtool
