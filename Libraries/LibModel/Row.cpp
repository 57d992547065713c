#include "Row.h"

#include <array>

namespace Model {

namespace {

struct KindName
{
    RowKind kind_;
    const char *name_;
};

constexpr std::array<KindName, 8> kindNames = {{{RowKind::Region, "region"},
                                                {RowKind::Domain, "domain"},
                                                {RowKind::Service, "service"},
                                                {RowKind::Class, "class"},
                                                {RowKind::Target, "target"},
                                                {RowKind::Route, "route"},
                                                {RowKind::Limits, "limits"},
                                                {RowKind::Workspace, "workspace"}}};

bool isNameCharacter(char character)
{
    const bool isControlOrSpace = static_cast<unsigned char>(character) <= ' ';
    return !isControlOrSpace
           && std::string_view("/\\[]\"'=;%?#,").find(character) == std::string::npos;
}

} // namespace

std::string toText(RowKind kind)
{
    for (const auto &entry : kindNames) {
        if (entry.kind_ == kind)
            return entry.name_;
    }
    return "unknown";
}

std::string toText(const RowKey &key)
{
    return toText(key.kind_) + " " + key.name_;
}

std::optional<RowKey> rowKeyFromText(const std::string &text)
{
    const auto space = text.find(' ');
    const std::string kind = text.substr(0, space);
    for (const auto &entry : kindNames) {
        if (kind != entry.name_)
            continue;
        const std::string name = space == std::string::npos ? "" : text.substr(space + 1);
        if (name.empty())
            return fail(ResultCode::MalformedText, "row '" + text + "' has no name");
        for (char character : name) {
            if (!isNameCharacter(character)) {
                return fail(ResultCode::MalformedText,
                            "row '" + text + "': names hold no spaces and none of /\\[]\"'=;%?#,");
            }
        }
        return RowKey{entry.kind_, name};
    }
    return fail(ResultCode::UnknownRowKind,
                "row '" + text + "': allowed kinds are region, domain, service, class, target");
}

std::string toText(const CellError &error)
{
    std::string text = "[" + std::to_string(number(error.code_)) + "] row '" + toText(error.row_)
                       + "', column '" + error.column_ + "', value '" + error.value_ + "': ";
    text += describe(error.code_);
    if (!error.allowed_.empty())
        text += " Allowed: " + error.allowed_;
    return text;
}

} // namespace Model
