#include "Commands.h"

#include "Explain.h"
#include "LiveState.h"
#include "PlatformCalls.h"
#include "Quarantines.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Tablectl {

using Model::ResultCode;
using Observe::ExitCode;

namespace {

ExitCode fail()
{
    std::cerr << toText(Model::lastReason()) << "\n";
    return ExitCode::Failed;
}

ExitCode usage(const std::string &text)
{
    std::cerr << "usage: tablectl " << text << "\n";
    return ExitCode::BadUsage;
}

std::vector<Model::Row> rowsOf(const Platform::TableMirror &mirror)
{
    std::vector<Model::Row> rows;
    for (const auto &[key, row] : mirror.rows_)
        rows.push_back(row);
    return rows;
}

std::optional<std::vector<Model::Row>> rowsFromFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Model::fail(ResultCode::MalformedText, "'" + path + "' cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return Model::rowsFromText(text.str());
}

/// Prints every invalid cell, not only the first. Returns whether all cells are valid.
bool printErrors(const std::vector<Model::Row> &rows)
{
    const auto errors = Model::Table::check(rows);
    for (const auto &error : errors)
        std::cerr << toText(error) << "\n";
    return errors.empty();
}

/// Returns the edit that turns the rows \a before into the rows \a after.
Platform::Edit editBetween(const std::vector<Model::Row> &before,
                           const std::vector<Model::Row> &after)
{
    std::map<Model::RowKey, Platform::RowEdit> edits;
    for (const auto &change : Model::changesBetween(before, after)) {
        Platform::RowEdit &edit = edits[change.row_];
        edit.row_ = change.row_;
        if (!change.column_.empty()) {
            edit.cells_[change.column_] = change.after_;
            if (change.after_.empty())
                edit.cells_[change.column_] = std::nullopt;
            continue;
        }
        const auto added = std::find_if(after.begin(), after.end(), [&](const auto &row) {
            return row.key_ == change.row_ && !row.deleted_;
        });
        edit.removesRow_ = added == after.end();
        if (!edit.removesRow_) {
            for (const auto &[column, value] : added->cells_)
                edit.cells_[column] = value;
        }
    }
    Platform::Edit edit;
    for (auto &[key, rowEdit] : edits)
        edit.rows_.push_back(std::move(rowEdit));
    return edit;
}

ExitCode commitAndPrint(const Options &options, const Platform::Edit &edit)
{
    if (options.operator_.empty())
        return usage("--operator NAME ...: the audit trail requires a name");
    const auto version = commitEdit(options, edit);
    if (!version)
        return fail();
    std::cout << "accepted as version " << version->value() << "\n";
    return ExitCode::Ok;
}

ExitCode show(const Options &options)
{
    const auto mirror = readTable(options);
    if (!mirror)
        return fail();
    const auto rows = rowsOf(*mirror);
    if (options.arguments_.size() < 2) {
        std::cout << "; version " << mirror->version_.value() << "\n" << Model::toText(rows);
        return ExitCode::Ok;
    }
    std::vector<Model::Row> chosen;
    for (const auto &row : rows) {
        if (Model::toText(row.key_).starts_with(options.arguments_[1]))
            chosen.push_back(row);
    }
    std::cout << Model::toText(chosen);
    return chosen.empty() ? ExitCode::Failed : ExitCode::Ok;
}

ExitCode set(const Options &options)
{
    const auto &arguments = options.arguments_;
    if (arguments.size() < 3)
        return usage("set 'KIND NAME' COLUMN=VALUE ... (COLUMN= removes the cell)");
    const auto key = Model::rowKeyFromText(arguments[1]);
    if (!key)
        return fail();
    Platform::RowEdit row;
    row.row_ = *key;
    for (std::size_t i = 2; i < arguments.size(); ++i) {
        const auto equals = arguments[i].find('=');
        if (equals == std::string::npos)
            return usage("set 'KIND NAME' COLUMN=VALUE ...");
        const std::string value = arguments[i].substr(equals + 1);
        auto &cell = row.cells_[arguments[i].substr(0, equals)];
        if (!value.empty())
            cell = value;
    }
    // Reports all errors at once; the commit reports only the first one.
    const auto mirror = readTable(options);
    if (!mirror)
        return fail();
    Platform::Edit edit;
    edit.rows_.push_back(std::move(row));
    const auto after = Platform::rowsAfter(*mirror, edit);
    if (!after)
        return fail();
    if (!printErrors(*after))
        return ExitCode::Failed;
    return commitAndPrint(options, edit);
}

ExitCode remove(const Options &options)
{
    if (options.arguments_.size() != 2)
        return usage("remove 'KIND NAME'");
    const auto key = Model::rowKeyFromText(options.arguments_[1]);
    if (!key)
        return fail();
    Platform::Edit edit;
    edit.rows_.push_back({*key, {}, true});
    return commitAndPrint(options, edit);
}

ExitCode validate(const Options &options)
{
    if (options.arguments_.size() != 2)
        return usage("validate FILE");
    const auto rows = rowsFromFile(options.arguments_[1]);
    if (!rows)
        return fail();
    if (!printErrors(*rows))
        return ExitCode::Failed;
    std::cout << rows->size() << " rows are good\n";
    return ExitCode::Ok;
}

ExitCode diffOrApply(const Options &options, bool applies)
{
    if (options.arguments_.size() != 2)
        return usage(applies ? "apply FILE [--base VERSION]" : "diff FILE");
    const auto rows = rowsFromFile(options.arguments_[1]);
    if (!rows)
        return fail();
    if (!printErrors(*rows))
        return ExitCode::Failed;
    const auto mirror = readTable(options);
    if (!mirror)
        return fail();
    const auto before = rowsOf(*mirror);
    for (const auto &change : Model::changesBetween(before, *rows))
        std::cout << toText(change) << "\n";
    if (!applies)
        return ExitCode::Ok;
    const auto edit = editBetween(before, *rows);
    if (edit.rows_.empty()) {
        std::cout << "nothing to change\n";
        return ExitCode::Ok;
    }
    return commitAndPrint(options, edit);
}

ExitCode drain(const Options &options)
{
    if (options.arguments_.size() != 2)
        return usage("drain DOMAIN [--start TIME] [--end TIME] | drain DOMAIN --start never");
    Platform::RowEdit row;
    row.row_ = {Model::RowKind::Domain, options.arguments_[1]};
    const bool isCancelled = options.start_ == "never";
    if (isCancelled) {
        row.cells_["drain_start"] = std::nullopt;
        row.cells_["drain_end"] = std::nullopt;
    } else {
        row.cells_["drain_start"]
            = options.start_.empty() ? Model::toText(wallNow()) : options.start_;
        row.cells_["drain_end"] = std::nullopt;
        if (!options.end_.empty())
            row.cells_["drain_end"] = options.end_;
    }
    const auto mirror = readTable(options);
    if (!mirror)
        return fail();
    const auto storedRow = mirror->rows_.find(row.row_);
    if (storedRow == mirror->rows_.end() || storedRow->second.deleted_) {
        Model::fail(ResultCode::UnknownRow, "row '" + toText(row.row_) + "'");
        return fail();
    }
    Platform::Edit edit;
    edit.rows_.push_back(std::move(row));
    return commitAndPrint(options, edit);
}

ExitCode history(const Options &options)
{
    const auto records = readHistory(options);
    if (!records)
        return fail();
    for (const auto &record : *records) {
        std::cout << "version " << record.version_.value() << " at " << Model::toText(record.at_)
                  << " by " << record.operator_ << " (edit " << record.edit_.value() << ")\n";
        for (const auto &change : record.changes_)
            std::cout << "  " << toText(change) << "\n";
    }
    return ExitCode::Ok;
}

ExitCode explainCommand(const Options &options)
{
    if (options.arguments_.size() != 3 || options.origin_.empty())
        return usage("explain SERVICE CALLER --origin REGION [--at TIME]");
    const auto mirror = readTable(options);
    const auto table = mirror ? Platform::buildTable(*mirror) : std::nullopt;
    if (!table)
        return fail();
    auto at = std::optional<Model::WallTime>(wallNow());
    if (!options.at_.empty())
        at = Model::timeFromText(options.at_);
    if (!at)
        return fail();
    const auto text
        = explain(*table, Model::ServiceId(options.arguments_[1]),
                  Model::CallerId(options.arguments_[2]), Model::RegionId(options.origin_), *at);
    if (!text)
        return fail();
    std::cout << *text;
    if (!options.at_.empty())
        return ExitCode::Ok;
    const auto instances = readInstances(options);
    if (!instances)
        return fail();
    std::cout << liveRouteText(*instances, Model::ServiceId(options.arguments_[1]),
                               Model::CallerId(options.arguments_[2]),
                               Model::RegionId(options.origin_));
    return ExitCode::Ok;
}

/// Requests instances by address: while the store is down, neither the list of instances nor the
/// table can be read.
ExitCode statusOfAddresses(const Options &options)
{
    std::istringstream list(options.adminAddresses_);
    for (std::string text; std::getline(list, text, ',');) {
        const auto address = Model::addressFromText(text);
        if (!address)
            return fail();
        Model::Instance instance;
        instance.id_ = Model::InstanceId(text);
        instance.addresses_.controlAdmin_ = *address;
        std::cout << instanceStatusText(instance, Model::TableVersion(0));
    }
    return ExitCode::Ok;
}

ExitCode status(const Options &options)
{
    if (!options.adminAddresses_.empty())
        return statusOfAddresses(options);
    const auto mirror = readTable(options);
    const auto instances = mirror ? readInstances(options) : std::nullopt;
    const auto table = mirror ? Platform::buildTable(*mirror) : std::nullopt;
    if (!instances || !table)
        return fail();
    std::cout << "table version " << mirror->version_.value() << " in the store\n";
    for (const auto &instance : *instances)
        std::cout << instanceStatusText(instance, mirror->version_);
    const std::string drains = drainsText(*table, wallNow());
    std::cout << (drains.empty() ? "no drains\n" : drains);
    return ExitCode::Ok;
}

/// Reads the key from standard input: the command line is visible to other users of the system.
ExitCode printKeyDigest(const Options &options)
{
    std::string key;
    if (options.arguments_.size() != 1 || !std::getline(std::cin, key) || key.empty())
        return usage("key-digest, with the key on standard input");
    std::cout << toText(Model::digestOf(key)) << "\n";
    return ExitCode::Ok;
}

struct Command
{
    std::string_view name_;
    std::string_view help_;
    ExitCode (*run_)(const Options &);
};

const std::vector<Command> commands = {
    {"show", "show ['KIND NAME']          print the table or some rows", show},
    {"set", "set 'KIND NAME' COL=VAL...  change cells of a row, or add the row", set},
    {"remove", "remove 'KIND NAME'          remove a row", remove},
    {"validate", "validate FILE               check a table file without changing anything",
     validate},
    {"diff", "diff FILE                   what 'apply' would change",
     [](const Options &options) {
         return diffOrApply(options, false);
     }},
    {"apply", "apply FILE [--base VERSION]  make the table what the file says",
     [](const Options &options) {
         return diffOrApply(options, true);
     }},
    {"drain", "drain DOMAIN [--start TIME] [--end TIME]  schedule a drain; --start never undoes",
     drain},
    {"history", "history                     the audit trail", history},
    {"explain", "explain SERVICE CALLER --origin REGION [--at TIME]  why traffic goes where",
     explainCommand},
    {"quarantines", "quarantines --ask ADDRESSES  list the quarantined requests", listQuarantines},
    {"lift", "lift PRINT --ask ADDRESSES  release a request from quarantine", releaseQuarantine},
    {"key-digest", "key-digest                  the digest of a caller's key from standard input",
     printKeyDigest},
    {"status", "status [--ask ADDRESSES]    table versions in use, and drains", status},
};

} // namespace

std::string commandsText()
{
    std::string text;
    for (const auto &command : commands)
        text += "  " + std::string(command.help_) + "\n";
    return text;
}

ExitCode runCommand(const Options &options)
{
    if (options.arguments_.empty())
        return usage("COMMAND ...; commands:\n" + commandsText());
    for (const auto &command : commands) {
        if (command.name_ == options.arguments_.front())
            return command.run_(options);
    }
    return usage("COMMAND ...; no command '" + options.arguments_.front() + "'; commands:\n"
                 + commandsText());
}

} // namespace Tablectl
