#pragma once

#include "Commands.h"

namespace Tablectl {

/// Blocking wrappers of LibPlatform's coroutines. Errors are those of LibPlatform. Thread safety:
/// none.
std::optional<Platform::TableMirror> readTable(const Options &options);
std::optional<Model::TableVersion> commitEdit(const Options &options, Platform::Edit edit);
std::optional<std::vector<Observe::AuditRecord>> readHistory(const Options &options);
std::optional<std::vector<Model::Instance>> readInstances(const Options &options);

/// Returns the current time in milliseconds.
Model::WallTime wallNow();

} // namespace Tablectl
