"""Renders the burn report as an HTML page with inline SVG plots."""

import html
import io

import matplotlib
from matplotlib import figure

from parsleystile import burn
from parsleystile import render
from parsleystile import report as reports

_STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 70em;
  padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 0 0 1.5em; }
th, td { padding: .2em .8em .2em 0; text-align: left;
  border-bottom: 1px solid #ddd; }
.overspent { color: #a00; font-weight: bold; }
svg { max-width: 100%; height: auto; }
"""
_WIDTH_INCHES = 9.0
_HEIGHT_INCHES = 2.8
# A fixed salt keeps the ids in an SVG reproducible.
_SVG_SALT = 'parsleystile'


def _svg(plot: figure.Figure) -> str:
    out = io.StringIO()
    with matplotlib.rc_context({'svg.hashsalt': _SVG_SALT}):
        plot.savefig(out, format='svg', metadata={'Date': None})
    text = out.getvalue()
    return text[text.index('<svg') :]


def _axes(title: str, x_label: str, y_label: str):
    plot = figure.Figure(
        figsize=(_WIDTH_INCHES, _HEIGHT_INCHES), layout='constrained'
    )
    axes = plot.subplots()
    axes.set_title(title)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(visible=True, alpha=0.3)
    return plot, axes


def _goodput_plot(report: reports.Report) -> str:
    plot, axes = _axes(
        'Goodput by failure domain', 'minutes ago', 'answered / demanded'
    )
    for name, rows in report.series.items():
        points = [
            (-age, good / demanded)
            for age, (demanded, good) in enumerate(rows)
            if demanded
        ]
        ages = [point[0] for point in points]
        axes.plot(ages, [p[1] for p in points], marker='.', label=name)
    axes.set_ylim(0, 1.05)
    if report.series:
        axes.legend(loc='lower left')
    return _svg(plot)


def _recent_plot(report: reports.Report) -> str:
    plot, axes = _axes(
        'Whole requests, all failure domains', 'seconds ago', 'a second'
    )
    ages = [-age for age in range(len(report.recent))]
    axes.plot(ages, [row[0] for row in report.recent], label='demanded')
    axes.plot(ages, [row[1] for row in report.recent], label='answered')
    axes.legend(loc='upper left')
    return _svg(plot)


def _burn_plot(report: reports.Report) -> str:
    plot, axes = _axes('Burn rate', '', 'budget = 1')
    labels = [f'{line.objective}\n{line.window}' for line in report.lines]
    rates = [line.burn_rate for line in report.lines]
    colours = ['#a33' if rate > 1 else '#383' for rate in rates]
    axes.bar(range(len(rates)), rates, color=colours)
    axes.axhline(1.0, color='#555', linewidth=1)
    axes.set_xticks(range(len(rates)), labels, rotation=60, ha='right')
    axes.tick_params(axis='x', labelsize=7)
    # Otherwise one high burn rate would make the others invisible.
    axes.set_yscale('symlog', linthresh=1)
    return _svg(plot)


def _organisations_plot(report: reports.Report) -> str:
    window = burn.WINDOWS[burn.SERIES_WINDOW].name
    plot, axes = _axes(
        f'Goodput by organisation, {window}', 'answered / demanded', ''
    )
    goodputs = [
        (organisation.goodput[burn.SERIES_WINDOW], organisation.name)
        for organisation in report.organisations
        if organisation.goodput[burn.SERIES_WINDOW] is not None
    ]
    goodputs.sort(reverse=True)
    axes.barh(
        [goodput[1] for goodput in goodputs],
        [goodput[0] for goodput in goodputs],
        color='#468',
    )
    axes.set_xlim(0, 1.05)
    return _svg(plot)


def _cell(text: str) -> str:
    attributes = ' class="overspent"' if text == 'overspent' else ''
    return f'<td{attributes}>{html.escape(text)}</td>'


def _table(table: render.Table) -> str:
    head = ''.join(f'<th>{html.escape(h)}</th>' for h in table.headings)
    rows = ''.join(
        f'<tr>{"".join(map(_cell, row))}</tr>\n' for row in table.rows
    )
    return f'<table>\n<tr>{head}</tr>\n{rows}</table>'


def render_page(report: reports.Report) -> str:
    """Return a self-contained HTML page."""
    plots = (
        _burn_plot(report),
        _goodput_plot(report),
        _recent_plot(report),
        _organisations_plot(report),
    )
    tables = ''.join(
        f'<h2>{html.escape(section.heading)}</h2>\n{_table(section.table)}\n'
        for section in reports.sections(report)
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        '<title>Service-level burn</title>'
        f'<style>{_STYLE}</style></head>\n<body>\n'
        '<h1>Service-level burn</h1>\n'
        f'<p>{html.escape(reports.summary(report))}</p>\n'
        f'{"".join(plots)}\n{tables}</body></html>\n'
    )
