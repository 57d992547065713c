#pragma once

#include <string>
#include <vector>

namespace Model {

/// Returns the items of a comma-separated list, without the spaces around them and without empty
/// ones. Thread safety: any thread.
std::vector<std::string> listFromText(const std::string &text);

} // namespace Model
