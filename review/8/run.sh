#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
PYTHONPATH=src exec "${RADISHWIND_VENV:-.venv}/bin/python" review/8/case.py
