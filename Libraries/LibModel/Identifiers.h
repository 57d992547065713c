#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Model {

/// A string identifier that does not convert to an identifier of another kind.
///
/// Thread safety: like std::string; distinct objects may be used from distinct threads.
template <typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : value_(std::move(value))
    {
    }

    const std::string &value() const { return value_; }
    bool isEmpty() const { return value_.empty(); }
    auto operator<=>(const StrongId &) const = default;

private:
    std::string value_;
};

using RegionId = StrongId<struct RegionTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using ServiceId = StrongId<struct ServiceTag>;
using TargetId = StrongId<struct TargetTag>;
using InstanceId = StrongId<struct InstanceTag>;
using CallerId = StrongId<struct CallerTag>;
using CallerClassId = StrongId<struct CallerClassTag>;
using WorkspaceId = StrongId<struct WorkspaceTag>;
using RequestId = StrongId<struct RequestTag>;
using RouteId = StrongId<struct RouteTag>;
using EditId = StrongId<struct EditTag>;

} // namespace Model

template <typename Tag>
struct std::hash<Model::StrongId<Tag>>
{
    std::size_t operator()(const Model::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
