#!/usr/bin/env bash
# As server_limit.sh, with so many nodes that slots of all servers are handed out by a broker: it must keep the limits
# that servers name to other nodes.
LIMIT_NODES=16
. "$(dirname "$0")/server_limit.sh"
