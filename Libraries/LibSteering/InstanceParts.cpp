#include "InstanceParts.h"

namespace Steering {

using Model::Milliseconds;

namespace {

/// Requests of one connection that are processed concurrently.
constexpr std::size_t pipelineDepth = 16;
/// Added to the table's idle limit, so that a caller that keeps the limit does not use a connection
/// at the moment it is closed.
constexpr Milliseconds idleTimeoutMargin{2000};

} // namespace

Http::ServerLimits entryLimits(const Model::CallerLimits &limits)
{
    Http::ServerLimits result;
    result.headBytes_ = limits.headBytes_;
    result.bodyBytes_ = limits.bodyBytes_;
    result.idle_ = limits.idle_ + idleTimeoutMargin;
    result.request_ = limits.request_;
    result.pipelineDepth_ = pipelineDepth;
    return result;
}

Instance::Parts::Parts(Instance &instance)
    : platformState_(instance.port_, instance.settings_, instance.log_)
    , targetRegistry_(instance.port_, platformState_, instance.log_)
    , reach_(platformState_, targetRegistry_, instance.log_)
    , placementEngine_(instance.settings_, platformState_, targetRegistry_)
    , shortage_(instance.settings_, platformState_, targetRegistry_, placementEngine_,
                instance.log_, instance.settings_.waitsForRoom_)
    , guard_(instance.port_, instance.log_)
    , peers_(instance.context_, instance.settings_, platformState_, instance.log_)
    , quotas_(instance.context_, instance.settings_, platformState_, peers_, instance.log_)
    , forwarder_(instance.context_, instance.port_, placementEngine_, peers_, instance.log_)
    , dispatcher_(instance.context_, instance.port_, platformState_, placementEngine_, reach_,
                  guard_, quotas_, instance.log_)
    , follower_(
          instance.context_, instance.port_, platformState_, instance.log_,
          [&instance] {
              instance.platformStateChanged();
          },
          [this] {
              return peers_.readerRank();
          })
    , entry_(instance.context_, entryLimits({}),
             [this](Http::IncomingRequest request) {
                 return dispatcher_.answer(std::move(request));
             })
    , lookup_(instance.context_, {},
              [&instance](Http::IncomingRequest request) {
                  return instance.answerLookup(std::move(request));
              })
    , ready_(instance.context_, {},
             [&instance](Http::IncomingRequest request) {
                 return instance.answerReady(std::move(request));
             })
    , admin_(instance.context_, {}, [&instance](Http::IncomingRequest request) {
        return instance.answerAdmin(std::move(request));
    })
{
    dispatcher_.setWaitsForRoom(instance.settings_.waitsForRoom_);
    dispatcher_.setForwarder(forwarder_);
    dispatcher_.setShortageMonitor(shortage_);
    peers_.setForwardingHandler(RequestForwarder::path, [this](Http::IncomingRequest request) {
        return dispatcher_.answerForwarded(std::move(request));
    });
}

} // namespace Steering
