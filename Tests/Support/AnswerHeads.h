#pragma once

#include <cstdio>
#include <string>
#include <vector>

namespace Support {

/// What a reader makes of an answer's head.
enum class HeadKind {
    /// The head of a final answer.
    Final,
    /// The head of an interim answer, which ends no request.
    Interim,
    /// No answer in HTTP.
    Broken,
};

/// The head of an answer, from its status line to its last field line.
struct AnswerHead
{
    std::string name_;
    std::string text_;
    HeadKind kind_ = HeadKind::Broken;
};

/// Tells whether \a byte may stand in a field's name (RFC 9110, section 5.6.2).
inline bool isTokenByte(unsigned char byte)
{
    constexpr const char *marks = "!#$%&'*+-.^_`|~";
    const bool isLetter = (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
    return isLetter || (byte >= '0' && byte <= '9')
           || (byte != 0 && std::string(marks).find(static_cast<char>(byte)) != std::string::npos);
}

/// Tells whether \a byte may stand in a field's value or in a reason phrase.
inline bool isTextByte(unsigned char byte)
{
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

inline HeadKind finalIf(bool isValid)
{
    return isValid ? HeadKind::Final : HeadKind::Broken;
}

/// Heads with every status from 0 to 1100, each followed by \a fields.
inline std::vector<AnswerHead> headsWithEveryStatus(const std::string &fields)
{
    std::vector<AnswerHead> heads;
    for (int status = 0; status <= 1100; ++status) {
        char number[8];
        std::snprintf(number, sizeof number, "%03d", status);
        HeadKind kind = finalIf(status >= 200 && status <= 599);
        // An interim answer that switches protocols has no final one behind it.
        if (status >= 100 && status < 200 && status != 101)
            kind = HeadKind::Interim;
        heads.push_back({std::string("status ") + number,
                         std::string("HTTP/1.1 ") + number + " Reason\r\n" + fields, kind});
        if (status < 100) {
            heads.push_back({"status " + std::to_string(status),
                             "HTTP/1.1 " + std::to_string(status) + " Reason\r\n" + fields});
        }
    }
    return heads;
}

/// Heads with every byte in each part of a field line, and with lines that are none; each head ends
/// with \a fields.
inline std::vector<AnswerHead> headsWithEveryByte(const std::string &fields)
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    std::vector<AnswerHead> heads;
    const auto add = [&](const std::string &name, const std::string &line, bool isValid = false) {
        heads.push_back({name, statusLine + line + "\r\n" + fields, finalIf(isValid)});
    };
    for (int number = 0; number < 256; ++number) {
        const auto byte = static_cast<unsigned char>(number);
        const std::string text(1, static_cast<char>(byte));
        const std::string value = " " + std::to_string(number);
        // Behind a colon, the rest of the name belongs to the value.
        const bool isColon = byte == ':';
        add("byte in a name" + value, "X-A" + text + "b: v", isTokenByte(byte) || isColon);
        add("byte before the colon" + value, "X-A" + text + ": v", isTokenByte(byte) || isColon);
        add("byte before a name" + value, text + "X-A: v", isTokenByte(byte));
        add("byte in a value" + value, "X-A: a" + text + "b", isTextByte(byte));
        heads.push_back({"byte in a reason" + value, "HTTP/1.1 200 O" + text + "K\r\n" + fields,
                         finalIf(isTextByte(byte))});
    }
    add("folded line", "X-A: a\r\n b");
    add("line folded by a tab", "X-A: a\r\n\tb");
    add("blank line of blanks", "X-A: a\r\n ");
    add("folded framing", "X-A: a\r\n Content-Length: 1");
    add("empty name", ": v");
    add("no colon", "X-A");
    add("two names", "X-A X-B: v");
    return heads;
}

/// All heads of both tables.
inline std::vector<AnswerHead> answerHeads(const std::string &fields)
{
    auto heads = headsWithEveryStatus(fields);
    for (auto &head : headsWithEveryByte(fields))
        heads.push_back(std::move(head));
    return heads;
}

} // namespace Support
