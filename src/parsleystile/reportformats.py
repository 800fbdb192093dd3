"""The burn report as text, JSON or one HTML page."""

from parsleystile import render
from parsleystile import report as reports


def render_as(report: reports.Report, output_format: str) -> str:
    """Return the report as ``text``, ``json`` or ``html``."""
    match output_format:
        case 'json':
            return render.as_json(report)
        case 'html':
            # Drawing takes a second to load; the other forms do without.
            from parsleystile import reporthtml

            return reporthtml.page(report)
    return reports.render_text(report)
