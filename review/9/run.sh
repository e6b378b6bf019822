#!/usr/bin/env bash
exec "$(dirname "$0")/../standin-2/run.sh" SameDigest 9
