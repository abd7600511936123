#!/usr/bin/env bash
# As server_rest.sh, where so many nodes run that slots are handed out: the node that hands them out does not know whom a
# server has turned away, and what is granted there must be declined.
REST_NODES=16
. "$(dirname "$0")/server_rest.sh"
