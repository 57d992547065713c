#include "WorkspaceIndex.h"

namespace Model {

void WorkspaceIndex::add(Workspace workspace)
{
    const std::size_t index = workspaces_.size();
    for (const auto &key : workspace.keys_)
        byKey_.emplace(key, index);
    byId_.emplace(workspace.id_, index);
    hasQuotas_ = hasQuotas_ || workspace.isLimited();
    workspaces_.push_back(std::move(workspace));
}

const Workspace *WorkspaceIndex::find(std::string_view key) const
{
    const auto found = byKey_.find(digestOf(key));
    return found == byKey_.end() ? nullptr : &workspaces_[found->second];
}

const Workspace *WorkspaceIndex::find(const WorkspaceId &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : &workspaces_[found->second];
}

} // namespace Model
