"""Runs the command line: ``python -m parsleystile``."""

import sys

from parsleystile import cli

sys.exit(cli.main())
