#include "Samples.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace Harness {

std::vector<SampleLine> readSamples(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot open sample file " + path);
    std::vector<SampleLine> lines;
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        std::vector<std::string> cells;
        std::istringstream stream(line);
        for (std::string cell; std::getline(stream, cell, ',');)
            cells.push_back(cell);
        cells.resize(10);
        lines.push_back({cells[0], cells[1], std::stod(cells[2]) / 1e6, std::stod(cells[3]) / 1e3,
                         cells[4], std::stoi(cells[5]), std::stoi(cells[6]), cells[7], cells[8],
                         std::stod(cells[9]) / 1e3});
    }
    return lines;
}

std::vector<SampleLine> samplesOfStream(const std::vector<SampleLine> &lines,
                                        const std::string &stream)
{
    std::vector<SampleLine> result;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(result), [&](const auto &line) {
        return line.stream_.starts_with(stream);
    });
    return result;
}

std::size_t countOutcome(const std::vector<SampleLine> &lines, const std::string &outcome)
{
    return static_cast<std::size_t>(
        std::count_if(lines.begin(), lines.end(), [&](const auto &line) {
            return line.outcome_ == outcome;
        }));
}

std::string refusalsOf(const std::vector<SampleLine> &lines)
{
    constexpr int maxShown = 12;
    std::ostringstream text;
    int shown = 0;
    for (const auto &line : lines) {
        if (line.outcome_ == "run" || ++shown > maxShown)
            continue;
        text << line.stream_ << " sent=" << line.sentSeconds_ << " told=" << line.outcome_
             << " code=" << line.code_ << " entry=" << line.entry_ << " sends=" << line.sends_
             << " ms=" << line.latencyMs_ << " late_ms=" << line.sendDelayMs_ << "\n";
    }
    return text.str();
}

double latencyMs(const std::vector<SampleLine> &lines, double fraction)
{
    std::vector<double> latencies;
    for (const auto &line : lines) {
        if (line.outcome_ == "run")
            latencies.push_back(line.latencyMs_);
    }
    if (latencies.empty())
        return 0;
    std::sort(latencies.begin(), latencies.end());
    const auto last = static_cast<double>(latencies.size() - 1);
    return latencies[static_cast<std::size_t>(last * fraction + 0.5)];
}

std::vector<double> domainShares(const std::vector<SampleLine> &lines, const Model::Table &table,
                                 double fromSeconds, double untilSeconds)
{
    std::vector<double> shares(table.domains().size(), 0);
    double total = 0;
    for (const auto &line : lines) {
        if (line.sentSeconds_ < fromSeconds || line.sentSeconds_ >= untilSeconds)
            continue;
        if (line.outcome_ != "run")
            continue;
        for (const auto &target : table.targets()) {
            if (target.id_.value() != line.target_)
                continue;
            for (std::size_t i = 0; i < shares.size(); ++i) {
                if (table.domains()[i].id_ == target.domain_)
                    shares[i] += 1;
            }
        }
        total += 1;
    }
    for (double &share : shares)
        share = total > 0 ? share / total : 0;
    return shares;
}

double valueIn(const std::string &text, const std::string &start, const std::string &name)
{
    const auto line = text.find(start);
    if (line == std::string::npos)
        return 0;
    const auto end = text.find('\n', line);
    const auto at = text.find(" " + name + "=", line);
    if (at == std::string::npos || at > end)
        return 0;
    return std::stod(text.substr(at + name.size() + 2));
}

} // namespace Harness
