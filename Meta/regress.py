#!/usr/bin/env python3
"""Scores the deployments in force and compares them with a committed table.

    regress.py --bench PROGRAM --kit FOLDER [--jobs N] [--table FILE] [--keep FOLDER] [--write]
    regress.py --from OUTPUT... [--table FILE] [--write]

The first form plays each deployment with `score`, one after the other, and keeps the outputs; the second one reads
outputs of earlier scores. Prints a line for each deployment: the gate, the mean worth of its standard days and how far
that is from the table. Ends with 1 if a gate is failed, a mean fell by more than the bench's noise, or an output holds
no score. --write puts the new figures into the table.
"""
import argparse
import pathlib
import re
import subprocess
import sys

SITES = ['further/izuba-gslb.toml', 'further-grown/izuba-gslb-grown.toml', 'grown/koper-tanks-grown.toml',
         'grown/nakhla-spa-grown.toml', 'large/koper-tanks-large.toml']
NOISE = 0.03
NAME = re.compile(r'^score on the standard days of (\S+)', re.M)
DAY = re.compile(r'^(\S+)\s+\d+/\d+\s+[\d.]+\s+(-?[\d.]+)\s+([\d.]+)', re.M)
ROW = re.compile(r'^\| (\S+) \| (passed|failed) \| (-?[\d.]+) \| (.*) \|$', re.M)


class Score:
    """What one output says of a deployment's standard days; the day drawn for one score is left out."""

    def __init__(self, text):
        name = NAME.search(text)
        days = [day for day in DAY.findall(text) if not day[0].startswith('fresh-')]
        if not name or not days:
            raise ValueError('no score in this output')
        self.name = name[1]
        self.gate = 'passed' if re.search(r'^GATE passed', text, re.M) else 'failed'
        self.served = {day: served for day, _, served in days}
        self.mean = sum(float(worth) for _, worth, _ in days) / len(days)

    def row(self):
        served = ', '.join(f'{day} {value}' for day, value in self.served.items())
        return f'| {self.name} | {self.gate} | {self.mean:.3f} | {served} |'


def read_table(path):
    if not path.exists():
        return {}
    return {name: float(mean) for name, _, mean, _ in ROW.findall(path.read_text())}


def write_table(path, scores):
    rows = {}
    if path.exists():
        rows = {match[1]: match[0] for match in ROW.finditer(path.read_text())}
    rows.update({score.name: score.row() for score in scores})
    head = ['# Deployments in force', '',
            'Made by `Meta/regress.py`: `fleetbench score`, the last one kept of each. A mean that falls by more than '
            f'{NOISE} is a regression.', '', '| deployment | gate | mean worth | served |', '|---|---|---|---|']
    path.write_text('\n'.join(head + [rows[name] for name in sorted(rows)]) + '\n')


def play(options):
    options.keep.mkdir(parents=True, exist_ok=True)
    outputs = []
    for site in SITES:
        output = options.keep / (pathlib.Path(site).stem + '.out')
        command = [options.bench, 'score', str(options.kit / site), '--jobs', str(options.jobs),
                   '--why', 'Regression run of the deployments in force']
        with open(output, 'w') as file:
            subprocess.run(command, stdout=file, stderr=subprocess.STDOUT, check=False)
        outputs.append(output)
    return outputs


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument('--bench')
    parser.add_argument('--kit', type=pathlib.Path)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--keep', type=pathlib.Path, default=pathlib.Path('build/regress'))
    parser.add_argument('--from', dest='outputs', type=pathlib.Path, nargs='+')
    parser.add_argument('--table', type=pathlib.Path, default=pathlib.Path('docs/regression.md'))
    parser.add_argument('--write', action='store_true')
    options = parser.parse_args()
    if not options.outputs and not (options.bench and options.kit):
        parser.error('give --bench and --kit, or --from')
    known = read_table(options.table)
    scores = []
    is_good = True
    for output in options.outputs or play(options):
        try:
            score = Score(output.read_text(errors='replace'))
        except (OSError, ValueError) as error:
            print(f'{output}: {error}')
            is_good = False
            continue
        scores.append(score)
        change = score.mean - known.get(score.name, score.mean)
        has_fallen = change < -NOISE
        is_good = is_good and score.gate == 'passed' and not has_fallen
        print(f'{score.name}: gate {score.gate}, mean worth {score.mean:.3f} ({change:+.3f}){" FALLEN" if has_fallen else ""}')
    if options.write:
        write_table(options.table, scores)
    sys.exit(0 if is_good else 1)


if __name__ == '__main__':
    main()
