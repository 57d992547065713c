#!/usr/bin/env python3
"""Says where the worth of played days was lost, from outputs of `run SITE DAY --log all`: what-binds.py FILE...

Prints two Markdown tables a day: lost credit by the second in which requests were sent, by kind and by callers'
failure domain, from the report; and late, refused and lost requests by cause, from the instances' own lines. Files are
read line by line. Lines of instances that are cut or mixed with others are counted, not believed.
"""
import collections
import re
import sys

OF_INSTANCE = re.compile(r'\s*([\d.]+)\s+\S+\s+(?:t=|.*\bevent=)')
LINE = re.compile(r'\s*([\d.]+)\s+\S+\s+t=\d+ event=\d+ name=(\w+)((?: \w+=(?:"(?:[^"\\]|\\.)*"|[^\s"=]*))*)\s*$')
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
DAY = re.compile(r'(\S+)\s+\d+/\d+\s+[\d.]+\s+([\d.]+)\s+([\d.]+)')
PRICE = re.compile(r'  -(0\.\d+)\s+\S+ (.+)$')
REPORT_COLUMNS = 10
HEADINGS = ['from second', 'class ', "clients' zone"]
CAUSES = ['late: load at the home', 'late: wait at the home', 'late: stray that loads', 'late: stray to a known target',
          'late: second attempt', 'refused', 'may have run', 'caller left']


def cause_of(name, fields):
    """Returns the cause that a line stands for, or None. Raises KeyError or ValueError for a line that is cut."""
    if name == 'RequestRefused':
        return 'refused' if fields['service'] not in ('', '""') else None
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


class Day:
    """What one file says of its day."""

    def __init__(self):
        self.name = self.worth = self.whole_day = None
        self.tables = collections.defaultdict(list)
        self.prices = []
        self.causes = collections.defaultdict(collections.Counter)
        self.unreadable = 0
        self.heading = None

    def take_instance_line(self, line):
        match = LINE.match(line)
        try:
            cause = cause_of(match[2], dict(FIELD.findall(match[3]))) if match else None
        except (KeyError, ValueError):
            match = None
        if not match:
            self.unreadable += 1
        elif cause:
            self.causes[cause][int(float(match[1])) // 2 * 2] += 1

    def take_report_line(self, line):
        heading = next((known for known in HEADINGS if line.startswith(known)), None)
        if heading or not line.strip():
            self.heading = heading
            return
        cells = line.split()
        if self.heading and len(cells) == REPORT_COLUMNS:
            self.tables[self.heading].append(cells)
        if match := DAY.match(line):
            self.name, self.worth, self.whole_day = match.groups()
        if match := PRICE.match(line):
            self.prices.append((float(match[1]), match[2]))

    def lost_by(self, heading):
        rows = self.tables[heading]
        return {cells[0]: int(cells[1]) * (1 - float(cells[7])) for cells in rows}

    def asked(self):
        return sum(int(cells[1]) for cells in self.tables['from second'])


def read(path):
    day = Day()
    with open(path, errors='replace') as file:
        for line in file:
            if OF_INSTANCE.match(line):
                day.take_instance_line(line)
            else:
                day.take_report_line(line)
    if not day.name:
        sys.exit(f'what-binds: {path} holds no report of a played day')
    return day


def shares(lost, most=8):
    whole = sum(lost.values()) or 1
    largest = sorted(lost, key=lost.get, reverse=True)[:most]
    return ', '.join(f'{name} {100 * lost[name] / whole:.0f}%' for name in largest)


def print_day(day):
    print(f'### {day.name}: worth {day.worth}, whole day {day.whole_day}, {day.asked()} requests\n')
    print('| lost credit by | largest parts |\n|---|---|')
    for label, heading in zip(['second of sending', 'kind', "callers' failure domain"], HEADINGS):
        print(f'| {label} | {shares(day.lost_by(heading))} |')
    largest = sorted(day.prices, reverse=True)[:4]
    print(f'| prices | {", ".join(f"{what} {price}" for price, what in largest)} |\n')
    print('| cause, by the instances | requests | seconds with most |\n|---|---|---|')
    for cause in CAUSES:
        seconds = day.causes[cause]
        most = ', '.join(f'{second}: {count}' for second, count in seconds.most_common(3))
        print(f'| {cause} | {sum(seconds.values())} | {most} |')
    print(f'| lines that cannot be read | {day.unreadable} | |\n')


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    for path in sys.argv[1:]:
        print_day(read(path))


if __name__ == '__main__':
    main()
