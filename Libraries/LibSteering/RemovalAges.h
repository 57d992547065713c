#pragma once

#include <LibModel/LibModel.h>

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Steering {

/// The time since each target's registration was first found to have expired or to have been
/// removed, by target id.
using RemovalAges = std::map<std::string, Model::Milliseconds>;

/// Adds \a ages to a message to a peer; nothing if there are none. Thread safety: any thread.
void addRemovalAges(nlohmann::json &message, const RemovalAges &ages);

/// Returns the ages that addRemovalAges() added to a message; empty if there are none or they
/// cannot be parsed. Thread safety: any thread.
RemovalAges removalAgesIn(const nlohmann::json &message);

} // namespace Steering
