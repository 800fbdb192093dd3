"""Renders the burn report as text, JSON or an HTML page."""

from parsleystile import render
from parsleystile import report as reports


def render_as(report: reports.Report, output_format: str) -> str:
    """Return the report as ``text``, ``json`` or ``html``."""
    match output_format:
        case 'json':
            return render.as_json(report)
        case 'html':
            # Imported on demand: matplotlib takes a second to load.
            from parsleystile import reporthtml

            return reporthtml.render_page(report)
    return reports.render_text(report)
