#!/usr/bin/env python3
"""Measures what each mechanism of the policy is worth: it is switched off in a copy of the tree, days are
played with and without it, and the paired differences are printed.

    Meta/ablate.py --bench PROGRAM --site FILE --work FOLDER [--days a,b] [--seeds 1,2] [--only name,...] [--jobs N]

The folder gets one clone of HEAD for each mechanism, beside a link to the folder in which the bench's own
pages lie. A mechanism is switched off by one constant or line, as listed below; one whose text is not found
any more ends the program, so the list cannot rot unseen.
"""
import argparse
import concurrent.futures
import pathlib
import re
import shutil
import statistics
import subprocess
import sys

# name: (file, text, text with the mechanism off, what is off)
MECHANISMS = {
    'others-warmth': ('Libraries/LibPolicy/WorkTimes.cpp', 'blend(warmth, looksWarm(times, worked) ? 1 : 0, workTimeWeight);',
                      'warmth = looksWarm(times, worked) ? 1 : 1;', 'homes of others are always taken for warm'),
    'kept-objects': ('Libraries/LibPolicy/WorkTimes.cpp', 'if (!wasWarm && age < memory.kept_) {',
                     'if (!wasWarm && age < memory.kept_ && age < minRetention * 0) {', 'objects are taken to be kept for two minutes'),
    'load-price-by-use': ('Libraries/LibPolicy/TargetChoice.h', 'maxColdLoadCostFactor = 4', 'maxColdLoadCostFactor = 1',
                          'a load costs the same however full the service is'),
    'load-price': ('Libraries/LibPolicy/TargetChoice.cpp', 'return scaled(work.cold_ - work.warm_, std::clamp',
                   'return scaled(Model::Microseconds(0) * work.cold_.count(), std::clamp', 'a stray that loads costs nothing'),
    'far-spares': ('Libraries/LibPolicy/SpareConnections.h', 'minIdleConnectionReuse = 0.7', 'minIdleConnectionReuse = 7',
                   'far targets get no connection ahead of need'),
    'load-reports': ('Libraries/LibPolicy/OthersLoad.cpp', 'std::min(workTime, maxReportAge) ? load.latest_ : 0',
                     'std::min(workTime, maxReportAge) ? 0 * load.latest_ : 0', 'reports of load do not count in a choice'),
    'spill-cap': ('Libraries/LibPolicy/SpillMeter.h', 'spillPart = 0.5', 'spillPart = 50', 'any part may leave the home region'),
    'admission': ('Libraries/LibPolicy/RequestAdmission.h', 'latenessOfFirstRank = 2.0', 'latenessOfFirstRank = 2000',
                  'whatever can be answered at all is taken'),
    'pace': ('Libraries/LibPolicy/WorkTimes.h', 'paceWeight = 0.3', 'paceWeight = 0.0', 'slow and failing answers teach nothing'),
    'silence': ('Libraries/LibPolicy/WorkTimes.h', 'silenceFactor = 2', 'silenceFactor = 2000', 'waiting requests say nothing of a target'),
    'homes-by-slots': ('Libraries/LibPolicy/HomePlacement.h', 'plannedUse = 0.95', 'plannedUse = 0.05', 'all objects stay in their region'),
}


def clone(name, work, bench_root):
    folder = work / name / 'main'
    if folder.exists():
        shutil.rmtree(folder)
    folder.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(['git', 'clone', '-q', '.', str(folder)], check=True)
    link = folder.parent / bench_root.name
    if not link.exists():
        link.symlink_to(bench_root)
    return folder


def switch_off(folder, name):
    path, text, off, _ = MECHANISMS[name]
    file = folder / path
    source = file.read_text()
    if text not in source:
        sys.exit(f'ablate: {name}: {path} has no longer "{text}"')
    file.write_text(source.replace(text, off))


def play(folder, bench, site, day, seed, why):
    """Returns worth, credit of the whole day and whether a rule broke, or nothing if the day was not played."""
    command = [bench, 'run', site, day, '--seed', seed, '--jobs', '1', '--why', why]
    text = subprocess.run(command, cwd=folder, capture_output=True, text=True).stdout
    found = re.search(r'worth ([\d.-]+) = whole day ([\d.]+)', text)
    return (float(found[1]), float(found[2]), 'BROKEN' in text) if found else None


def row(name, plays, base):
    pairs = [(plays[key], base[key]) for key in base if plays.get(key) and base[key]]
    columns = [f'{len(pairs)}']
    for i in (0, 1):
        gains = [one[i] - other[i] for one, other in pairs]
        error = statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0
        columns.append(f'{statistics.median(gains):+.4f} | {statistics.mean(gains):+.4f} ± {error:.4f}')
    columns.append(str(sum(one[2] for one, _ in pairs)))
    return f'| {name} | {MECHANISMS[name][3]} | ' + ' | '.join(columns) + ' |'


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for option in ('--bench', '--site', '--work'):
        parser.add_argument(option, required=True, type=pathlib.Path)
    parser.add_argument('--days', default='quiet-1,scale-1,trouble-1')
    parser.add_argument('--seeds', default='201')
    parser.add_argument('--only', default=','.join(MECHANISMS))
    parser.add_argument('--jobs', type=int, default=4)
    options = parser.parse_args()
    unknown = [name for name in options.only.split(',') if name not in MECHANISMS]
    if unknown:
        parser.error(f'unknown mechanism: {", ".join(unknown)}')
    site = str(options.site.resolve())
    bench = str(options.bench.resolve())
    root = pathlib.Path(bench)
    while root.parent != root and not (root / 'kit').is_dir():
        root = root.parent
    folders = {}
    for name in ['base', *options.only.split(',')]:
        folders[name] = clone(name, options.work.resolve(), root)
        if name != 'base':
            switch_off(folders[name], name)
    tasks = [(name, day, seed) for name in folders for day in options.days.split(',') for seed in options.seeds.split(',')]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        list(pool.map(lambda folder: subprocess.run([bench, 'build'], cwd=folder, capture_output=True), folders.values()))
        results = list(pool.map(lambda task: play(folders[task[0]], bench, site, task[1], task[2],
                                                  f'ablation: {task[0]} off' if task[0] != 'base' else 'ablation: nothing off'), tasks))
    plays = {}
    for (name, day, seed), result in zip(tasks, results):
        plays.setdefault(name, {})[day, seed] = result
    print('| off | what that means | plays | worth, median | worth, mean | whole day, median | whole day, mean | broke a rule |')
    print('|---|---|---|---|---|---|---|---|')
    for name in options.only.split(','):
        print(row(name, plays[name], plays['base']))


if __name__ == '__main__':
    main()
