#include "Explain.h"

#include <cstdio>

namespace Tablectl {

using Model::ResultCode;

namespace {

std::string percentText(double share)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f%%", share * 100);
    return text;
}

std::string secondsText(Model::Milliseconds duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.1f s", Model::inSeconds(duration));
    return text;
}

std::string drainText(const Model::FailureDomain &domain, Model::WallTime now)
{
    if (!domain.drainStart_)
        return "";
    if (now < *domain.drainStart_)
        return ", drain begins at " + Model::toText(*domain.drainStart_);
    if (domain.drainEnd_ && now >= *domain.drainEnd_)
        return ", drain ended at " + Model::toText(*domain.drainEnd_);
    return ", draining since " + Model::toText(*domain.drainStart_);
}

std::string classText(const Model::Table &table, const Model::CallerId &caller)
{
    const auto *callerClass = table.classOf(caller);
    if (!callerClass)
        return "class: other (no row matches; weight 10, no limits)\n";
    std::string text = "class: " + callerClass->id_.value();
    text += " (weight " + std::to_string(static_cast<int>(callerClass->weight_.value()));
    if (callerClass->isBulk_)
        text += ", bulk";
    text += ", may hold " + percentText(callerClass->useLimit_.value()) + " of the slots";
    if (callerClass->limit_.value() > 0) {
        text += ", at most " + std::to_string(static_cast<int>(callerClass->limit_.value()))
                + " requests a second in all";
    }
    return text + ")\n";
}

} // namespace

std::optional<std::string> explain(const Model::Table &table, const Model::ServiceId &service,
                                   const Model::CallerId &caller, const Model::RegionId &origin,
                                   Model::WallTime at)
{
    const auto *row = table.service(service);
    if (!row)
        return Model::fail(ResultCode::UnknownService, "'" + service.value() + "'");
    if (!table.region(origin))
        return Model::fail(ResultCode::BadLookupQuery, "no region '" + origin.value() + "'");

    std::string text = "table version " + std::to_string(table.version().value()) + ", at "
                       + Model::toText(at) + "\n" + classText(table, caller);
    const auto shares = Policy::plannedShares(table, service, origin, at);
    const auto goal = Policy::goalShares(table, service, origin, at, {});
    text += "traffic of " + service.value() + " from " + origin.value() + ":\n";
    for (std::size_t i = 0; i < table.domains().size(); ++i) {
        const auto &domain = table.domains()[i];
        const auto slots = table.slotsIn(service, domain.id_).value();
        if (shares.shares_[i] <= 0 && goal.shares_[i] <= 0 && domain.region_ != origin)
            continue;
        text += "  " + domain.id_.value() + " (" + domain.region_.value() + "): "
                + percentText(shares.shares_[i]) + " now, goal " + percentText(goal.shares_[i])
                + "; weight " + std::to_string(static_cast<int>(domain.weight_.value())) + ", "
                + std::to_string(slots) + " slots" + drainText(domain, at) + "\n";
    }
    const auto remaining = Policy::timeToGoal(table, service, origin, at);
    if (remaining > Model::Milliseconds(0)) {
        text += "moving: goal reached in " + secondsText(remaining) + "; cap "
                + percentText(row->shiftCap_.value()) + " a second between failure domains, "
                + percentText(row->regionShiftCap_.value()) + " between regions\n";
    } else {
        text += "not moving\n";
    }
    text += "refused: requests that wait over " + std::to_string(row->queueLimit_.count())
            + " ms for a slot, and those that fall to a "
            + "failure domain that is out while the cap holds back their move\n";
    return text;
}

std::string drainsText(const Model::Table &table, Model::WallTime now)
{
    std::string text;
    for (std::size_t i = 0; i < table.domains().size(); ++i) {
        const auto &domain = table.domains()[i];
        if (!domain.drainStart_ || (domain.drainEnd_ && now >= *domain.drainEnd_))
            continue;
        for (const auto &service : table.services()) {
            const auto shares = Policy::plannedShares(table, service.id_, domain.region_, now);
            const auto remaining = Policy::timeToGoal(table, service.id_, domain.region_, now);
            text += "drain " + domain.id_.value() + " of " + service.id_.value() + ": "
                    + percentText(shares.shares_[i]) + " of " + domain.region_.value()
                    + "'s traffic left";
            if (now < *domain.drainStart_) {
                text += ", begins at " + Model::toText(*domain.drainStart_);
            } else if (remaining > Model::Milliseconds(0)) {
                text += ", done in " + secondsText(remaining);
            } else {
                text += ", done";
            }
            text += "\n";
        }
    }
    return text;
}

} // namespace Tablectl
