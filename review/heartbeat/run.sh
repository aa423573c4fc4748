#!/bin/bash
exec timeout 110 python3 "$(dirname "$0")/scenario.py"
