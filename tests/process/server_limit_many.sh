#!/usr/bin/env bash
# As server_limit.sh, where so many nodes run that slots of all servers are handed out: the node that hands them out must
# keep the limits that others are told.
LIMIT_NODES=16
. "$(dirname "$0")/server_limit.sh"
