#include "TableText.h"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <map>
#include <set>
#include <sstream>

namespace Model {

namespace {

std::map<RowKey, const Row *> liveRows(const std::vector<Row> &rows)
{
    std::map<RowKey, const Row *> live;
    for (const auto &row : rows) {
        if (!row.deleted_)
            live[row.key_] = &row;
    }
    return live;
}

void addCellChanges(const Row &before, const Row &after, std::vector<CellChange> &changes)
{
    std::set<std::string> columns;
    for (const auto &[column, value] : before.cells_)
        columns.insert(column);
    for (const auto &[column, value] : after.cells_)
        columns.insert(column);
    for (const auto &column : columns) {
        const auto previous = before.cells_.find(column);
        const auto current = after.cells_.find(column);
        const std::string oldValue = previous == before.cells_.end() ? "" : previous->second;
        const std::string newValue = current == after.cells_.end() ? "" : current->second;
        if (oldValue != newValue)
            changes.push_back({after.key_, column, oldValue, newValue});
    }
}

std::string cellsText(const Row &row)
{
    std::string text;
    for (const auto &[column, value] : row.cells_)
        text += (text.empty() ? "" : " ") + column + "=" + value;
    return text;
}

/// Returns the names in the section headers of an INI text.
std::vector<std::string> sectionsOf(const std::string &text)
{
    std::vector<std::string> sections;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        const auto first = line.find_first_not_of(" \t\r");
        const auto last = line.find_last_not_of(" \t\r");
        if (first == std::string::npos || line[first] != '[' || line[last] != ']')
            continue;
        sections.push_back(line.substr(first + 1, last - first - 1));
    }
    return sections;
}

/// Adds the rows without cells. Boost.PropertyTree drops sections without keys, so without this an
/// operator's row with only default cells would be lost silently.
bool addRowsWithoutCells(const std::string &text, std::vector<Row> &rows)
{
    std::set<std::string> seen;
    for (const auto &section : sectionsOf(text)) {
        if (!seen.insert(section).second) {
            fail(ResultCode::DuplicateRow, "row '" + section + "'");
            return false;
        }
        const auto key = rowKeyFromText(section);
        if (!key)
            return false;
        const bool isKnown = std::any_of(rows.begin(), rows.end(), [&](const auto &row) {
            return row.key_ == *key;
        });
        if (isKnown)
            continue;
        Row row;
        row.key_ = *key;
        rows.push_back(std::move(row));
    }
    return true;
}

} // namespace

std::optional<std::vector<Row>> rowsFromText(const std::string &text)
{
    boost::property_tree::ptree tree;
    std::istringstream stream(text);
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        const bool isDuplicate = error.message().find("duplicate") != std::string::npos;
        return fail(isDuplicate ? ResultCode::DuplicateRow : ResultCode::MalformedText,
                    "line " + std::to_string(error.line()) + ": " + error.message());
    }

    std::vector<Row> rows;
    for (const auto &[section, cells] : tree) {
        if (!cells.data().empty())
            return fail(ResultCode::MalformedText, "cell '" + section + "' is outside any row");
        const auto key = rowKeyFromText(section);
        if (!key)
            return std::nullopt;
        Row row;
        row.key_ = *key;
        for (const auto &[column, value] : cells)
            row.cells_[column] = value.data();
        rows.push_back(std::move(row));
    }
    if (!addRowsWithoutCells(text, rows))
        return std::nullopt;
    return rows;
}

std::string toText(const std::vector<Row> &rows)
{
    std::string text;
    for (const auto &[key, row] : liveRows(rows)) {
        text += (text.empty() ? "[" : "\n[") + toText(key) + "]\n";
        for (const auto &[column, value] : row->cells_)
            text += column + " = " + value + "\n";
    }
    return text;
}

std::vector<CellChange> changesBetween(const std::vector<Row> &before,
                                       const std::vector<Row> &after)
{
    const auto oldRows = liveRows(before);
    const auto newRows = liveRows(after);
    std::vector<CellChange> changes;
    for (const auto &[key, row] : oldRows) {
        if (!newRows.contains(key))
            changes.push_back({key, "", cellsText(*row), ""});
    }
    for (const auto &[key, row] : newRows) {
        const auto old = oldRows.find(key);
        if (old == oldRows.end()) {
            changes.push_back({key, "", "", cellsText(*row)});
        } else {
            addCellChanges(*old->second, *row, changes);
        }
    }
    return changes;
}

std::string toText(const CellChange &change)
{
    const std::string name = toText(change.row_);
    if (change.column_.empty() && change.before_.empty())
        return name + " added: " + change.after_;
    if (change.column_.empty())
        return name + " removed: " + change.before_;
    return name + " " + change.column_ + ": '" + change.before_ + "' -> '" + change.after_ + "'";
}

} // namespace Model
