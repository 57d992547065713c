#include "ResultCode.h"

#include <algorithm>

namespace Model {

namespace {

thread_local Reason currentReason;

} // namespace

const std::vector<ResultCodeInfo> &resultCodes()
{
    using enum ResultCode;
    static const std::vector<ResultCodeInfo> table = {
        {Ok, "Ok", "Done."},
        {MalformedRequest, "MalformedRequest", "The request is not valid HTTP."},
        {AmbiguousLength, "AmbiguousLength", "The length of the body is given in two ways."},
        {HeadTooLarge, "HeadTooLarge", "The head of the request is over the limit."},
        {BodyTooLarge, "BodyTooLarge", "The body of the request is over the limit."},
        {RequestTooSlow, "RequestTooSlow", "The request did not arrive whole in time."},
        {BadHost, "BadHost", "An HTTP/1.1 request needs exactly one Host header."},
        {UnknownService, "UnknownService", "The first part of the path names no service."},
        {BadDeadline, "BadDeadline", "The deadline is not a number of milliseconds in range."},
        {KeyReusedWithOtherBody, "KeyReusedWithOtherBody",
         "The idempotency key was used with another request."},
        {KeyOutcomeUnknown, "KeyOutcomeUnknown",
         "The idempotency key was claimed before and its outcome is not known (yet)."},
        {BadLookupQuery, "BadLookupQuery", "The look-up's query is incomplete or unknown."},
        {UnsupportedExpectation, "UnsupportedExpectation",
         "Only the expectation 100-continue is supported."},
        {BadIdempotencyKey, "BadIdempotencyKey",
         "The idempotency key is empty, too long or has unprintable characters."},
        {UnknownRoute, "UnknownRoute", "No route has the request's host and path."},
        {UnknownCallerKey, "UnknownCallerKey", "The request carries no key of a workspace."},
        {OverCapacity, "OverCapacity", "The region cannot finish the request in time. Not run."},
        {ShiftLimited, "ShiftLimited",
         "The traffic may not move faster to other failure domains. Not run."},
        {NoTarget, "NoTarget", "No target of the service takes work. Not run."},
        {DeadlineTooShort, "DeadlineTooShort", "The deadline passed before dispatch. Not run."},
        {StoreUnavailable, "StoreUnavailable",
         "The platform's store is needed for this request and is down. Not run."},
        {NotReady, "NotReady",
         "The instance does not know the table, the targets or a serving entry yet. Not run."},
        {Stopping, "Stopping", "The instance is leaving; ask for another entry. Not run."},
        {DisplacedByFairShare, "DisplacedByFairShare",
         "Callers below their fair share went first. Not run."},
        {TargetRefused, "TargetRefused", "Targets refused before starting. Not run."},
        {ClassLimited, "ClassLimited", "The class of caller is over its limit. Not run."},
        {TargetUnreachable, "TargetUnreachable", "No connection to a target. Not run."},
        {WouldBeLate, "WouldBeLate",
         "No target could answer before the caller stops waiting. Not run."},
        {Quarantined, "Quarantined",
         "Targets ended under this request before; it is kept from them for a time. Not run."},
        {QuotaExceeded, "QuotaExceeded", "The workspace is over its quota. Not run."},
        {TooManyBytesHeld, "TooManyBytesHeld",
         "The instance or the target holds too many bytes of other requests. Not run."},
        {TooManyConnections, "TooManyConnections",
         "The instance has too many connections open. Not run."},
        {TargetConnectionLost, "TargetConnectionLost",
         "The connection to the target was lost after dispatch. Unknown whether it ran."},
        {TargetTimeout, "TargetTimeout",
         "The target did not answer in time. Unknown whether it ran."},
        {ForeignAnswer, "ForeignAnswer",
         "The answer belonged to another request and was dropped. Unknown whether it ran."},
        {TruncatedAnswer, "TruncatedAnswer",
         "The answer was incomplete and was dropped. Unknown whether it ran."},
        {EntryConnectionLost, "EntryConnectionLost",
         "The connection to another region's entry was lost. Unknown whether it ran."},
        {MalformedAnswer, "MalformedAnswer",
         "The answer was not valid HTTP and was dropped. Unknown whether it ran."},
        {UnknownRowKind, "UnknownRowKind",
         "The row's kind is not region, domain, service, class or target."},
        {UnknownRow, "UnknownRow", "The table has no such row."},
        {UnknownColumn, "UnknownColumn", "Rows of this kind have no such column."},
        {BadValue, "BadValue", "The cell's value is not allowed."},
        {DanglingReference, "DanglingReference", "The cell names a row that does not exist."},
        {DuplicateRow, "DuplicateRow", "The row or column is given twice."},
        {MalformedText, "MalformedText", "The text is not a table."},
        {EditConflict, "EditConflict", "Another operator changed the same row first."},
        {MissingValue, "MissingValue", "The row lacks a value that it needs."},
        {EditOutcomeUnknown, "EditOutcomeUnknown",
         "The store did not say whether the edit was accepted; repeat it with the same edit id."},
        {PlatformUnreachable, "PlatformUnreachable", "No connection to the platform."},
        {PlatformError, "PlatformError", "The platform answered with an error."},
        {PlatformBadAnswer, "PlatformBadAnswer", "The platform's answer could not be read."},
        {CommitConflict, "CommitConflict", "A condition of the commit did not hold."},
        {CommitOutcomeUnknown, "CommitOutcomeUnknown",
         "The confirmation of a commit was lost; it may have taken effect."},
        {PlatformHistoryGone, "PlatformHistoryGone",
         "The platform no longer knows what changed since; everything is read anew."},
        {SettingsUnreadable, "SettingsUnreadable", "The settings file could not be read."},
        {SettingsUnknownKey, "SettingsUnknownKey", "The settings have no such key."},
        {SettingsBadValue, "SettingsBadValue", "The setting's value is not allowed."},
        {SettingsMissing, "SettingsMissing", "A needed setting is missing."},
        {PeerUnreachable, "PeerUnreachable", "No answer from a peer."},
        {SnapshotInvalid, "SnapshotInvalid", "A received snapshot was not valid and was dropped."},
        {OldVersionRefused, "OldVersionRefused",
         "An older version of the table was offered and refused."},
        {PeerMessageUnreadable, "PeerMessageUnreadable",
         "What a peer sent could not be read and was dropped."},
    };
    return table;
}

std::string_view describe(ResultCode code)
{
    const auto &table = resultCodes();
    const auto found = std::find_if(table.begin(), table.end(), [code](const auto &i) {
        return i.code_ == code;
    });
    return found == table.end() ? std::string_view("Unlisted.") : found->meaning_;
}

const Reason &lastReason()
{
    return currentReason;
}

std::nullopt_t fail(ResultCode code, std::string detail)
{
    currentReason = Reason{code, std::move(detail)};
    return std::nullopt;
}

std::string toText(const Reason &reason)
{
    std::string text = "[" + std::to_string(number(reason.code_)) + "] ";
    text += describe(reason.code_);
    if (!reason.detail_.empty())
        text += " " + reason.detail_;
    return text;
}

} // namespace Model
