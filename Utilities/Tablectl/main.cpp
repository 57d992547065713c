#include "Commands.h"

#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(
    platform, "",
    "IP:port of the platform's table service (required except by validate and key-digest)");
DEFINE_string(operator, "", "your name, for the audit trail (required for edits)");
DEFINE_string(edit_id, "",
              "id of the edit; pass the same id to retry an edit whose outcome is unknown");
DEFINE_uint64(base, 0,
              "the table version that the edit is based on; rows changed since are a conflict");
DEFINE_string(start, "", "drain: start time, as 2026-12-02T18:00:00Z; default now");
DEFINE_string(end, "", "drain: when traffic begins to return");
DEFINE_string(origin, "", "explain: the region of the caller");
DEFINE_string(at, "", "explain: the time; default now");
DEFINE_string(
    ask, "",
    "status: control_admin addresses to use instead of the platform's list; quarantines and "
    "lift: admin addresses of instanced, entry_admin of entryd");
DEFINE_int32(timeout_ms, 2000, "timeout of one request to the platform");

int main(int argc, char **argv)
{
    const std::string help
        = "tablectl: shows and edits the operators' table.\n\n"
          "Usage: tablectl --platform IP:port [--operator NAME] COMMAND ...\n\n"
          + Tablectl::commandsText()
          + "\nExit codes: 0 done, 1 refused or failed (the reason is printed), 3 bad usage.";
    if (Observe::showHelpIfAsked(argc, argv, help, "Tablectl/main"))
        return 0;
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    Tablectl::Options options;
    options.operator_ = FLAGS_operator;
    options.editId_ = FLAGS_edit_id;
    options.timeout_ = Model::Milliseconds(FLAGS_timeout_ms);
    options.start_ = FLAGS_start;
    options.end_ = FLAGS_end;
    options.origin_ = FLAGS_origin;
    options.at_ = FLAGS_at;
    options.adminAddresses_ = FLAGS_ask;
    if (FLAGS_base > 0)
        options.base_ = Model::TableVersion(FLAGS_base);
    options.arguments_.assign(argv + 1, argv + argc);
    const std::string command = options.arguments_.empty() ? "" : options.arguments_.front();
    const bool usesAdminAddresses = (command == "status" && !options.adminAddresses_.empty())
                                    || command == "quarantines" || command == "lift";
    const bool usesNoPlatform = command == "validate" || command == "key-digest";
    const bool needsPlatform = !usesNoPlatform && !usesAdminAddresses;
    const auto platform = Model::addressFromText(FLAGS_platform);
    if (needsPlatform && !platform) {
        std::cerr << "--platform IP:port is required; see --help\n";
        return static_cast<int>(Observe::ExitCode::BadUsage);
    }
    options.platform_ = platform.value_or(Model::Address());
    return static_cast<int>(Tablectl::runCommand(options));
}
