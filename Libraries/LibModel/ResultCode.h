#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Model {

/// Numbered results. The numbers are part of the interface; a number is never reused.
/// docs/result-codes.md has the same table, and a test compares the two.
enum class ResultCode {
    Ok = 0,

    MalformedRequest = 101,
    AmbiguousLength = 102,
    HeadTooLarge = 103,
    BodyTooLarge = 104,
    RequestTooSlow = 105,
    BadHost = 106,
    UnknownService = 107,
    BadDeadline = 108,
    KeyReusedWithOtherBody = 109,
    KeyOutcomeUnknown = 110,
    BadLookupQuery = 111,
    UnsupportedExpectation = 112,
    BadIdempotencyKey = 113,
    UnknownRoute = 114,
    UnknownCallerKey = 115,

    OverCapacity = 201,
    ShiftLimited = 202,
    NoTarget = 203,
    DeadlineTooShort = 204,
    StoreUnavailable = 205,
    NotReady = 206,
    Stopping = 207,
    DisplacedByFairShare = 208,
    TargetRefused = 209,
    ClassLimited = 210,
    TargetUnreachable = 211,
    WouldBeLate = 212,
    Quarantined = 213,
    QuotaExceeded = 214,
    TooManyBytesHeld = 215,
    TooManyConnections = 216,

    TargetConnectionLost = 301,
    TargetTimeout = 302,
    ForeignAnswer = 303,
    TruncatedAnswer = 304,
    EntryConnectionLost = 305,
    MalformedAnswer = 306,

    UnknownRowKind = 401,
    UnknownRow = 402,
    UnknownColumn = 403,
    BadValue = 404,
    DanglingReference = 405,
    DuplicateRow = 406,
    MalformedText = 407,
    EditConflict = 408,
    MissingValue = 409,
    EditOutcomeUnknown = 410,

    PlatformUnreachable = 501,
    PlatformError = 502,
    PlatformBadAnswer = 503,
    CommitConflict = 504,
    CommitOutcomeUnknown = 505,
    PlatformHistoryGone = 506,

    SettingsUnreadable = 601,
    SettingsUnknownKey = 602,
    SettingsBadValue = 603,
    SettingsMissing = 604,

    PeerUnreachable = 701,
    SnapshotInvalid = 702,
    OldVersionRefused = 703,
    PeerMessageUnreadable = 704,
};

/// An entry in the table of result codes.
struct ResultCodeInfo
{
    ResultCode code_;
    std::string_view name_;
    std::string_view meaning_;
};

/// Returns the whole table in ascending order. Thread safety: any thread.
const std::vector<ResultCodeInfo> &resultCodes();

/// Returns the number that is shown to users. Thread safety: any thread.
constexpr int number(ResultCode code)
{
    return static_cast<int>(code);
}

/// Returns the meaning of \a code in one sentence. Thread safety: any thread.
std::string_view describe(ResultCode code);

/// Why the latest failed call on this thread returned an empty std::optional.
struct Reason
{
    ResultCode code_ = ResultCode::Ok;
    std::string detail_;
};

/// Returns the reason of the latest failure on the calling thread.
///
/// Precondition: the call of interest returned an empty optional and was the latest call on this
/// thread. Thread safety: each thread has its own reason.
const Reason &lastReason();

/// Records why a call fails; meant for `return fail(code, detail);`.
///
/// Thread safety: each thread has its own reason.
std::nullopt_t fail(ResultCode code, std::string detail);

/// Returns "[number] meaning detail", the form in which a reason is shown to users.
///
/// Thread safety: any thread.
std::string toText(const Reason &reason);

} // namespace Model
