#pragma once

#include <LibModel/LibModel.h>

#include <optional>
#include <string>
#include <vector>

namespace Observe {

/// Records who changed what in the table and when; written in the transaction of the edit.
struct AuditRecord
{
    Model::TableVersion version_;
    Model::EditId edit_;
    std::string operator_;
    Model::WallTime at_;
    std::vector<Model::CellChange> changes_;

    bool operator==(const AuditRecord &) const = default;
};

/// Serializes a record for the store. auditFromText() parses that form and returns std::nullopt,
/// with PlatformBadAnswer as the last reason, for any other text.
///
/// Thread safety: any thread.
std::string toText(const AuditRecord &record);
std::optional<AuditRecord> auditFromText(const std::string &text);

} // namespace Observe
