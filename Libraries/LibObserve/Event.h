#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Observe {

/// Numbered log events. The numbers are part of the interface; a number is never reused.
/// docs/events.md has the same table, and a test compares the two.
enum class Event {
    Started = 1001,
    Ready = 1002,
    StopRequested = 1003,
    Stopped = 1004,
    SettingsRefused = 1005,
    ListenFailed = 1006,

    TableApplied = 2001,
    TableRefused = 2002,
    StoreLost = 2003,
    StoreBack = 2004,
    InstanceListChanged = 2005,
    PeerLost = 2006,
    PeerBack = 2007,
    BlocksApplied = 2008,
    LookupListChanged = 2009,
    TableFitted = 2010,

    TargetLeaving = 3001,
    TargetSuspect = 3002,
    TargetBack = 3003,
    ForeignAnswerDropped = 3004,
    DomainOut = 3005,
    DomainBack = 3006,
    ClaimUnsettled = 3007,
    TargetEnded = 3008,
    RequestQuarantined = 3009,
    QuarantineLifted = 3010,
    QuarantinesUnread = 3011,
    QuotaReached = 3012,
    QuotaFree = 3013,
    ShortageBegan = 3014,
    ShortageEnded = 3015,

    SnapshotApplied = 4001,
    ControlLost = 4002,
    ControlBack = 4003,
    SnapshotRefused = 4004,

    RequestAnswered = 5001,
    RequestRefused = 5002,
    RequestUnknown = 5003,
    RequestRetried = 5004,
    RequestAbandoned = 5005,
    RequestWithdrawn = 5006,
    RequestSentToMissing = 5007,
    RequestForwarded = 5008,
    DomainUnreached = 5009,
    DomainReached = 5010,
    StaleConnection = 5011,
    SecondTry = 5012,
    RequestFoundNoRoom = 5020,
    TargetAdded = 5101,
    TargetChanged = 5102,
    TargetGone = 5103,
    TargetMissing = 5104,
    TargetUnreadable = 5105,
    TargetRestarted = 5106,
    TargetOutdated = 5107,
    TargetLeaveKnown = 5108,
    TargetLimited = 5109,
    TargetLimitEnded = 5110,
    TargetPauses = 5111,
    TargetPauseUnreadable = 5112,
    KnowledgeFromPeer = 5201,
    HistoryLost = 5202,
    ClockGap = 5203,
    StoreReading = 5204,
    StoreCallAbandoned = 5205,
    StoreCallRepeated = 5206,
    RowFetchFailed = 5207,
    StoreReturned = 5208,
    SettingsReloaded = 5301,
    SettingsReloadRefused = 5302,
    TermsApplied = 5303,
    TermsDefaulted = 5304,
    LinesLeftOut = 5401,
};

enum class Severity { Info, Warning, Error };

/// An entry in the catalogue of events.
struct EventInfo
{
    Event event_;
    Severity severity_;
    std::string_view name_;
    std::string_view meaning_;
    /// Maximum number of lines of this event per second in the decision log of a process.
    int linesPerSecond_ = 20;
};

/// Returns the whole catalogue in ascending order. Thread safety: any thread.
const std::vector<EventInfo> &events();

/// Returns the catalogue entry for \a event. Thread safety: any thread.
const EventInfo &infoOf(Event event);

/// A named value of a logged event.
struct Field
{
    std::string_view name_;
    std::string value_;
};

/// Writes a line "[number name] field=value ..." to the log.
///
/// Thread safety: any thread. May block on the log file, so it must not be called per request.
void logEvent(Event event, const std::vector<Field> &fields = {});

} // namespace Observe
