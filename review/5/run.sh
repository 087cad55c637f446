#!/usr/bin/env bash
source "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh"
