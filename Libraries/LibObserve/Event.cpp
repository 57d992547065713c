#include "Event.h"

#include <algorithm>
#include <glog/logging.h>

namespace Observe {

const std::vector<EventInfo> &events()
{
    using enum Event;
    using enum Severity;
    static const std::vector<EventInfo> catalogue = {
        {Started, Info, "Started", "The process started with valid settings."},
        {Ready, Info, "Ready", "The process is ready to serve."},
        {StopRequested, Info, "StopRequested", "A planned stop was requested."},
        {Stopped, Info, "Stopped", "The process exits; no request in progress was cut off."},
        {SettingsRefused, Error, "SettingsRefused",
         "The settings are invalid; the process did not start."},
        {ListenFailed, Error, "ListenFailed", "The process cannot listen on a configured address."},
        {TableApplied, Info, "TableApplied", "A newer version of the table was applied."},
        {TableRefused, Warning, "TableRefused", "An older or invalid table was offered."},
        {StoreLost, Warning, "StoreLost", "The platform's store does not answer."},
        {StoreBack, Info, "StoreBack", "The platform's store answers again."},
        {InstanceListChanged, Info, "InstanceListChanged", "The platform's instance list changed."},
        {PeerLost, Warning, "PeerLost", "No recent heartbeat of a peer was received."},
        {PeerBack, Info, "PeerBack", "A heartbeat of a new or lost peer was received."},
        {BlocksApplied, Info, "BlocksApplied", "A new map of client blocks was applied."},
        {LookupListChanged, Info, "LookupListChanged",
         "Look-ups list another number of entries with wide links."},
        {TableFitted, Warning, "TableFitted",
         "A value of an accepted configuration was fitted to the table's rules."},
        {TargetLeaving, Info, "TargetLeaving", "A target is leaving and gets no new work."},
        {TargetSuspect, Warning, "TargetSuspect", "A target failed and is skipped."},
        {TargetBack, Info, "TargetBack", "A suspect target answered again."},
        {ForeignAnswerDropped, Error, "ForeignAnswerDropped",
         "A target's answer did not belong to the request; it was dropped, the connection closed."},
        {DomainOut, Warning, "DomainOut", "No target of a service answers in a failure domain."},
        {DomainBack, Info, "DomainBack", "A failure domain can serve a service again."},
        {ClaimUnsettled, Warning, "ClaimUnsettled",
         "The outcome of a claimed request could not be written; repeats get 'unknown'."},
        {TargetEnded, Warning, "TargetEnded",
         "A target stopped without notice while requests were in progress there.", 50},
        {RequestQuarantined, Error, "RequestQuarantined",
         "Targets crashed repeatedly while they ran a request; it is quarantined."},
        {QuarantineLifted, Warning, "QuarantineLifted",
         "A quarantined request is sent to targets again."},
        {QuarantinesUnread, Warning, "QuarantinesUnread",
         "The quarantined requests could not be read from the store or written to it."},
        {QuotaReached, Warning, "QuotaReached",
         "A workspace asks for more than its quota; a part of its requests is refused."},
        {QuotaFree, Info, "QuotaFree", "A workspace asks for less than its quota again."},
        {ShortageBegan, Warning, "ShortageBegan",
         "The region is short of a service's slots; a part of the requests is refused."},
        {ShortageEnded, Info, "ShortageEnded", "The region has enough slots of a service again."},
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
         "The chosen target no longer takes requests; another one is chosen."},
        {RequestSentToMissing, Warning, "RequestSentToMissing",
         "The request is sent to a target whose registration is missing and may have expired."},
        {RequestForwarded, Info, "RequestForwarded",
         "A request was passed to a peer, because few targets are reached from here."},
        {DomainUnreached, Warning, "DomainUnreached",
         "Most targets of a service in a failure domain are not reached from here.", 50},
        {DomainReached, Info, "DomainReached",
         "Targets of a service in a failure domain are reached again.", 50},
        {StaleConnection, Info, "StaleConnection",
         "A request was sent on a connection that the target had already closed."},
        {SecondTry, Info, "SecondTry", "A slow request is also sent to a second target."},
        {RequestFoundNoRoom, Info, "RequestFoundNoRoom",
         "A request found no place in the queue for room, or left it without being placed.", 30},
        {TargetAdded, Info, "TargetAdded", "A target registered itself.", 100},
        {TargetChanged, Info, "TargetChanged", "A target's registration changed.", 100},
        {TargetGone, Info, "TargetGone",
         "A target's registration was removed; it gets no new work.", 100},
        {TargetMissing, Warning, "TargetMissing",
         "A registration is missing and may have expired; the target stays in use for a short "
         "time.",
         100},
        {TargetUnreadable, Warning, "TargetUnreadable",
         "A registration cannot be parsed; it yields no usable target.", 20},
        {TargetRestarted, Info, "TargetRestarted",
         "A target restarted under its id; the state of the earlier incarnation is discarded.",
         100},
        {TargetOutdated, Warning, "TargetOutdated",
         "A registration of an earlier incarnation arrived after a later one and is ignored.", 20},
        {TargetLeaveKnown, Info, "TargetLeaveKnown",
         "A target is known to be leaving; names the last request sent there and the source.", 100},
        {TargetLimited, Info, "TargetLimited",
         "A target names a rate limit for all instances together; each uses a part of it.", 20},
        {TargetLimitEnded, Info, "TargetLimitEnded", "A target no longer names a rate limit.", 20},
        {TargetPauses, Info, "TargetPauses",
         "A target turned a request away and asked this instance for a pause.", 100},
        {TargetPauseUnreadable, Warning, "TargetPauseUnreadable",
         "The pause that a target asked for cannot be parsed; it is ignored.", 20},
        {KnowledgeFromPeer, Info, "KnowledgeFromPeer", "A peer sent newer rows of the store."},
        {HistoryLost, Warning, "HistoryLost",
         "The store no longer has the change history; all rows are read again."},
        {ClockGap, Warning, "ClockGap", "The process was suspended; its state is out of date."},
        {StoreReading, Info, "StoreReading",
         "The instance starts or stops reading a table of the store itself."},
        {StoreCallAbandoned, Warning, "StoreCallAbandoned",
         "Peers have a newer revision than a waiting call to the store; the call is repeated."},
        {StoreCallRepeated, Info, "StoreCallRepeated",
         "The call that replaced an abandoned one ended."},
        {RowFetchFailed, Warning, "RowFetchFailed",
         "A peer did not send its newer rows of the store completely."},
        {StoreReturned, Warning, "StoreReturned",
         "The store has returned from an older copy; rows that were known to be replaced or "
         "removed "
         "are held over."},
        {SettingsReloaded, Info, "SettingsReloaded", "The settings file was reloaded."},
        {SettingsReloadRefused, Error, "SettingsReloadRefused",
         "The new settings are invalid; the previous ones stay in force."},
        {TermsApplied, Info, "TermsApplied", "The platform's terms came into force."},
        {TermsDefaulted, Warning, "TermsDefaulted",
         "Some terms are in force with their defaults: the settings state them in no usable form."},
        {LinesLeftOut, Info, "LinesLeftOut",
         "Lines of an event were suppressed in the last second."},
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
