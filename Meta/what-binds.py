#!/usr/bin/env python3
"""Says where the worth of played days was lost, from outputs of `run SITE DAY --log all`: what-binds.py FILE...

Prints two Markdown tables a day: lost credit by the second in which requests were sent, by kind and by callers'
failure domain, from the report; and late, refused and lost requests by cause, from the instances' own lines.
"""
import collections
import re
import sys

LINE = re.compile(r'\s*([\d.]+)\s+\S+\s+t=\d+ event=\d+ name=(\w+) (.*)')
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
CAUSES = ['late: load at the home', 'late: wait at the home', 'late: stray that loads', 'late: stray to a known target',
          'late: second attempt', 'refused', 'may have run', 'caller left']


def table_rows(text, heading):
    """Yields the cells of the report's table that begins with heading."""
    inside = False
    for line in text.splitlines():
        if line.startswith(heading):
            inside = True
        elif inside and not line.strip():
            return
        elif inside:
            yield line.split()


def lost_by(text, heading):
    rows = [cells for cells in table_rows(text, heading) if len(cells) == 10]
    lost = {cells[0]: int(cells[1]) * (1 - float(cells[7])) for cells in rows}
    return lost, sum(int(cells[1]) for cells in rows)


def shares(lost, most=8):
    whole = sum(lost.values()) or 1
    largest = sorted(lost, key=lost.get, reverse=True)[:most]
    return ', '.join(f'{name} {100 * lost[name] / whole:.0f}%' for name in largest)


def cause_of(name, fields):
    if name == 'RequestRefused':
        return 'refused' if fields.get('service', '""') != '""' else None
    if name == 'RequestUnknown':
        return 'may have run'
    if name == 'RequestAbandoned':
        return 'caller left'
    if name != 'RequestAnswered' or int(fields['took_ms']) <= int(fields['goal_ms']):
        return None
    if fields['attempts'] != '1':
        return 'late: second attempt'
    if fields['home'] == 'yes':
        return 'late: load at the home' if fields['warm'] == 'no' else 'late: wait at the home'
    return 'late: stray that loads' if fields['warm'] == 'no' else 'late: stray to a known target'


def causes(lines):
    counts = collections.defaultdict(collections.Counter)
    for at, name, fields in lines:
        cause = cause_of(name, fields)
        if cause:
            counts[cause][int(at) // 2 * 2] += 1
    return counts


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for path in sys.argv[1:]:
        with open(path, errors='replace') as file:
            text = file.read()
        lines = [(float(m[1]), m[2], dict(FIELD.findall(m[3]))) for m in map(LINE.match, text.splitlines()) if m]
        found = re.search(r'^(\S+)\s+\d+/\d+\s+[\d.]+\s+([\d.]+)\s+([\d.]+)', text, re.M)
        if not found:
            sys.exit(f'what-binds: {path} holds no report of a played day')
        by_second, asked = lost_by(text, 'from second')
        print(f'### {found[1]}: worth {found[2]}, whole day {found[3]}, {asked} requests\n')
        print('| lost credit by | largest parts |\n|---|---|')
        print(f'| second of sending | {shares(by_second)} |')
        print(f'| kind | {shares(lost_by(text, "class ")[0])} |')
        by_domain, _ = lost_by(text, "clients' zone")
        print(f"| callers' failure domain | {shares(by_domain)} |")
        prices = re.findall(r'^  -(0\.\d+)\s+\S+ (.+)$', text, re.M)
        largest = sorted(prices, key=lambda price: -float(price[0]))[:4]
        print(f'| prices | {", ".join(f"{what} {price}" for price, what in largest)} |\n')
        print('| cause, by the instances | requests | seconds with most |\n|---|---|---|')
        for cause in CAUSES:
            seconds = causes(lines)[cause]
            most = ', '.join(f'{second}: {count}' for second, count in seconds.most_common(3))
            print(f'| {cause} | {sum(seconds.values())} | {most} |')
        print()


if __name__ == '__main__':
    main()
