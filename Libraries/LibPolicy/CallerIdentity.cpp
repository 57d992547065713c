#include "CallerIdentity.h"

#include <algorithm>

namespace Policy {

namespace {

bool allows(const std::vector<Model::RegionId> &regions, const Model::RegionId &region)
{
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

std::optional<const Model::Workspace *> workspaceOfCaller(const Model::WorkspaceIndex &workspaces,
                                                          KeyUse use, std::string_view key)
{
    if (workspaces.all().empty())
        return nullptr;
    const Model::Workspace *workspace = key.empty() ? nullptr : workspaces.find(key);
    if (!workspace && use == KeyUse::Required)
        return Model::fail(Model::ResultCode::UnknownCallerKey, "");
    return workspace;
}

int priorityOf(const Model::Route &route, const Model::Workspace *workspace)
{
    return workspace && workspace->priority_ ? *workspace->priority_ : route.priority_;
}

bool mayRunIn(const Model::RegionId &region, const Model::Route &route,
              const Model::Workspace *workspace)
{
    return allows(route.allowedRegions_, region)
           && (!workspace || allows(workspace->allowedRegions_, region));
}

} // namespace Policy
