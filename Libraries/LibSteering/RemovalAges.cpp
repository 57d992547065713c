#include "RemovalAges.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Steering {

namespace {

constexpr const char *removalsField = "removals";

/// Upper limit for the age of a removal that a peer reports.
constexpr std::uint64_t maxRemovalAgeMs = 60000;

} // namespace

void addRemovalAges(nlohmann::json &message, const RemovalAges &ages)
{
    for (const auto &[id, age] : ages)
        message[removalsField][id] = static_cast<std::uint64_t>(age.count());
}

RemovalAges removalAgesIn(const nlohmann::json &message)
{
    RemovalAges ages;
    if (!message.is_object() || !message.contains(removalsField)
        || !message[removalsField].is_object())
        return ages;
    for (const auto &[id, age] : message[removalsField].items()) {
        if (age.is_number_unsigned())
            ages[id] = Model::Milliseconds(std::min(age.get<std::uint64_t>(), maxRemovalAgeMs));
    }
    return ages;
}

} // namespace Steering
