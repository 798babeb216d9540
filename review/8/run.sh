#!/usr/bin/env bash
# Case 8: endpoints lose their path to the store, and the two machines that read
# the store are partitioned from it.
. "$(dirname "$0")/../standins-2/run-case.sh" late-removal
