#pragma once

#include <LibModel/LibModel.h>

#include <optional>
#include <string_view>

namespace Policy {

/// Whether a request must carry a key.
enum class KeyUse { Required, Optional };

/// Returns the workspace of the caller that presents \a key (empty if it presents none). The
/// pointer is null if the request belongs to no workspace and needs none: the table has no
/// workspaces, or \a use is Optional.
///
/// Returns std::nullopt, with UnknownCallerKey as the last reason, if the request must be rejected.
/// Thread safety: any thread.
std::optional<const Model::Workspace *> workspaceOfCaller(const Model::WorkspaceIndex &workspaces,
                                                          KeyUse use, std::string_view key);

/// Returns the rank of a request while slots are short. \a workspace may be null.
/// Thread safety: any thread.
int priorityOf(const Model::Route &route, const Model::Workspace *workspace);

/// Returns whether a request may run in \a region by its route and its workspace, which may be
/// null. Thread safety: any thread.
bool mayRunIn(const Model::RegionId &region, const Model::Route &route,
              const Model::Workspace *workspace);

} // namespace Policy
