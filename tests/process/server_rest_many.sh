#!/usr/bin/env bash
# As server_rest.sh, with so many nodes that slots are handed out by a broker: it does not know which nodes a server has
# asked for a rest, so these nodes must decline slots granted at that server.
REST_NODES=16
. "$(dirname "$0")/server_rest.sh"
