#include "Claims.h"

#include "EntryRanking.h"

#include <nlohmann/json.hpp>

namespace Policy {

namespace {

const char *stateText(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Run:
        return "run";
    case ClaimState::Released:
        break;
    }
    return "released";
}

std::optional<ClaimState> stateFromText(const std::string &text)
{
    for (auto state : {ClaimState::Claimed, ClaimState::Run, ClaimState::Released}) {
        if (text == stateText(state))
            return state;
    }
    return std::nullopt;
}

} // namespace

ClaimVerdict evaluateClaim(const Claim &found, const std::string &ownHolder,
                           std::uint64_t requestHash)
{
    if (found.requestHash_ != requestHash)
        return ClaimVerdict::OtherRequest;
    if (found.state_ == ClaimState::Run)
        return ClaimVerdict::Replay;
    if (found.state_ == ClaimState::Released)
        return ClaimVerdict::TakeOver;
    return found.holder_ == ownHolder ? ClaimVerdict::Proceed : ClaimVerdict::Unknown;
}

std::string toText(const Claim &claim)
{
    nlohmann::json json = {{"state", stateText(claim.state_)},
                           {"request", std::to_string(claim.requestHash_)},
                           {"holder", claim.holder_}};
    if (claim.state_ == ClaimState::Run) {
        json["status"] = claim.answerStatus_;
        json["type"] = claim.answerType_;
        json["body"] = claim.answerBody_;
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Claim> claimFromText(const std::string &text)
{
    using Model::ResultCode;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    try {
        const auto state = stateFromText(json.at("state").get<std::string>());
        if (!state)
            return Model::fail(ResultCode::PlatformBadAnswer, "claim with an unknown state");
        Claim claim;
        claim.state_ = *state;
        claim.requestHash_ = std::stoull(json.at("request").get<std::string>());
        claim.holder_ = json.at("holder").get<std::string>();
        claim.answerStatus_ = json.value("status", 0);
        claim.answerType_ = json.value("type", "");
        claim.answerBody_ = json.value("body", "");
        return claim;
    } catch (const std::exception &error) {
        return Model::fail(ResultCode::PlatformBadAnswer, std::string("claim: ") + error.what());
    }
}

std::uint64_t requestHash(const std::string &method, const std::string &target,
                          const std::string &body)
{
    return rendezvousScore(method + " " + target, body);
}

} // namespace Policy
