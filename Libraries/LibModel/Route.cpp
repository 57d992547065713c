#include "Route.h"

#include "ResultCode.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace Model {

namespace {

std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(' ');
    if (first == std::string::npos)
        return "";
    return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

std::optional<WeightedSplit> weightedSplitFromText(const std::string &text)
{
    const auto colon = text.find(':');
    if (colon == std::string::npos)
        return WeightedSplit{ServiceId(text), Weight(1)};
    const std::string number = trimmed(text.substr(colon + 1));
    double weight = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), weight);
    const bool isWhole = error == std::errc() && end == number.data() + number.size();
    if (!isWhole || !std::isfinite(weight) || weight < 0)
        return std::nullopt;
    return WeightedSplit{ServiceId(trimmed(text.substr(0, colon))), Weight(weight)};
}

} // namespace

std::optional<std::vector<WeightedSplit>> weightedSplitsFromText(const std::string &text)
{
    std::vector<WeightedSplit> splits;
    double sum = 0;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto split = weightedSplitFromText(trimmed(item));
        if (!split || split->service_.isEmpty())
            return fail(ResultCode::BadValue, "services '" + text + "'");
        sum += split->weight_.value();
        splits.push_back(*split);
    }
    if (sum <= 0)
        return fail(ResultCode::BadValue, "services '" + text + "'");
    return splits;
}

std::string toText(const std::vector<WeightedSplit> &splits)
{
    std::string text;
    for (const auto &split : splits) {
        char weight[32];
        std::snprintf(weight, sizeof weight, "%.10g", split.weight_.value());
        text += (text.empty() ? "" : ", ") + split.service_.value() + ":" + weight;
    }
    return text;
}

void RouteIndex::add(Route route)
{
    byHost_[route.host_].insert_or_assign(route.prefix_, routes_.size());
    hasLargeAnswers_ = hasLargeAnswers_ || route.hasLargeAnswers_;
    routes_.push_back(std::move(route));
}

const Route *RouteIndex::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = byHost_.find(host);
    if (prefixes == byHost_.end())
        return nullptr;
    // Prefixes end with a slash, so only beginnings of the path that do can match; longest first.
    auto slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return &routes_[found->second];
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

} // namespace Model
