#pragma once

#include "Workspace.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace Model {

/// Finds the workspace of a caller by its key.
///
/// Thread safety: any number of threads may read while no thread calls add().
class WorkspaceIndex
{
public:
    /// Adds \a workspace. Precondition: its keys belong to no workspace added before.
    void add(Workspace workspace);

    /// Returns the workspace whose callers present \a key, or nullptr.
    const Workspace *find(std::string_view key) const;
    /// Returns the workspace \a id, or nullptr.
    const Workspace *find(const WorkspaceId &id) const;

    const std::vector<Workspace> &all() const { return workspaces_; }
    /// Returns whether any workspace has a quota.
    bool hasQuotas() const { return hasQuotas_; }

private:
    std::vector<Workspace> workspaces_;
    std::unordered_map<CallerKeyDigest, std::size_t> byKey_;
    std::unordered_map<WorkspaceId, std::size_t> byId_;
    bool hasQuotas_ = false;
};

} // namespace Model
