#include "Event.h"

#include <algorithm>
#include <glog/logging.h>

namespace Observe {

const std::vector<EventInfo> &events()
{
    using enum Event;
    using enum Severity;
    static const std::vector<EventInfo> catalogue = {
        {Started, Info, "Started", "The process began, with its settings accepted."},
        {Ready, Info, "Ready", "The process serves from now on."},
        {StopRequested, Info, "StopRequested", "A planned stop began."},
        {Stopped, Info, "Stopped", "The process ends; nothing in progress was cut off."},
        {SettingsRefused, Error, "SettingsRefused", "The settings have mistakes; nothing started."},
        {ListenFailed, Error, "ListenFailed", "An address of the settings cannot be listened on."},
        {TableApplied, Info, "TableApplied", "A newer version of the table is in force here."},
        {TableRefused, Warning, "TableRefused", "An older or invalid table was offered."},
        {StoreLost, Warning, "StoreLost", "The platform's store does not answer."},
        {StoreBack, Info, "StoreBack", "The platform's store answers again."},
        {InstanceListChanged, Info, "InstanceListChanged", "The platform's instance list changed."},
        {PeerLost, Warning, "PeerLost", "A peer has not been heard of for a while."},
        {PeerBack, Info, "PeerBack", "A peer is heard of (again)."},
        {BlocksApplied, Info, "BlocksApplied", "A new map of client blocks is in force here."},
        {TargetLeaving, Info, "TargetLeaving", "A target is leaving and gets no new work."},
        {TargetSuspect, Warning, "TargetSuspect", "A target failed and is passed over."},
        {TargetBack, Info, "TargetBack", "A suspect target answered again."},
        {ForeignAnswerDropped, Error, "ForeignAnswerDropped",
         "A target's answer did not belong to the request; it was dropped, the connection closed."},
        {DomainOut, Warning, "DomainOut", "No target of a service answers in a failure domain."},
        {DomainBack, Info, "DomainBack", "A failure domain can serve a service again."},
        {ClaimUnsettled, Warning, "ClaimUnsettled",
         "The outcome of a claimed request could not be written; repeats are told 'unknown'."},
        {TargetEnded, Warning, "TargetEnded",
         "A target ended without a word while requests were in progress there.", 50},
        {RequestQuarantined, Error, "RequestQuarantined",
         "Targets ended under a request again and again; it is kept from them from now on."},
        {QuarantineLifted, Warning, "QuarantineLifted",
         "A request that was kept from targets is sent to them again."},
        {QuarantinesUnread, Warning, "QuarantinesUnread",
         "The store did not say or take which requests are kept from targets."},
        {SnapshotApplied, Info, "SnapshotApplied", "A newer snapshot is used for requests."},
        {ControlLost, Warning, "ControlLost",
         "The local control process does not answer; the last snapshot stays in use."},
        {ControlBack, Info, "ControlBack", "The local control process answers (again)."},
        {SnapshotRefused, Warning, "SnapshotRefused",
         "The local control process offered an older or invalid table."},
        {RequestAnswered, Info, "RequestAnswered", "A target answered the request.", 30},
        {RequestRefused, Info, "RequestRefused", "The request was refused and has not run.", 30},
        {RequestUnknown, Warning, "RequestUnknown",
         "The request ended without an answer of a target; it may have run.", 50},
        {RequestRetried, Info, "RequestRetried", "The request is sent to a second target."},
        {RequestAbandoned, Info, "RequestAbandoned", "The caller left before the answer."},
        {RequestWithdrawn, Info, "RequestWithdrawn",
         "The request's target may get nothing any more since it was chosen; another one is."},
        {RequestSentToMissing, Warning, "RequestSentToMissing",
         "The request is sent to a target whose registration is gone and may have lapsed."},
        {TargetAdded, Info, "TargetAdded", "A target registered itself.", 100},
        {TargetChanged, Info, "TargetChanged", "What a target says of itself changed.", 100},
        {TargetGone, Info, "TargetGone", "A target's registration is gone; it gets no new work.",
         100},
        {TargetMissing, Warning, "TargetMissing",
         "A registration is gone and may have lapsed; the target is used a little longer.", 100},
        {TargetUnreadable, Warning, "TargetUnreadable",
         "A registration cannot be read; it names no target to use.", 20},
        {TargetRestarted, Info, "TargetRestarted",
         "A target runs anew under its id; what was known of the earlier run is forgotten.", 100},
        {TargetOutdated, Warning, "TargetOutdated",
         "A registration of an earlier run came after that of a later one and is ignored.", 20},
        {TargetLeaveKnown, Info, "TargetLeaveKnown",
         "A target is known to leave; names the last request sent there, and by what knowledge.",
         100},
        {KnowledgeFromPeer, Info, "KnowledgeFromPeer",
         "A peer knew newer rows of the store and told them."},
        {HistoryLost, Warning, "HistoryLost", "The store forgot its history; all rows are read."},
        {ClockGap, Warning, "ClockGap", "The process stood still; what it knew is old."},
        {StoreReading, Info, "StoreReading",
         "The instance follows a table of the store itself, or leaves that to others."},
        {StoreCallAbandoned, Warning, "StoreCallAbandoned",
         "Peers know of news that a waiting call to the store did not bring; it is asked anew."},
        {SettingsReloaded, Info, "SettingsReloaded", "The settings file was read anew."},
        {SettingsReloadRefused, Error, "SettingsReloadRefused",
         "The new settings have mistakes; the old ones stay in force."},
        {LinesLeftOut, Info, "LinesLeftOut", "Lines of an event were left out in the last second."},
    };
    return catalogue;
}

const EventInfo &infoOf(Event event)
{
    const auto &catalogue = events();
    const auto found = std::find_if(catalogue.begin(), catalogue.end(), [event](const auto &info) {
        return info.event_ == event;
    });
    return *found;
}

void logEvent(Event event, const std::vector<Field> &fields)
{
    const EventInfo &info = infoOf(event);
    std::string line
        = "[" + std::to_string(static_cast<int>(event)) + " " + std::string(info.name_) + "]";
    for (const auto &field : fields)
        line += " " + std::string(field.name_) + "=" + field.value_;

    switch (info.severity_) {
    case Severity::Info:
        LOG(INFO) << line;
        return;
    case Severity::Warning:
        LOG(WARNING) << line;
        return;
    case Severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace Observe
