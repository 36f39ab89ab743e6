#!/bin/sh
# Runs the case of a folder: 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$1" || exit 2
python3 -B case.py
case $? in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
