/*
 * server_lease.pml - ownership.pml with one lease for all ranges of a server.
 *
 * Two control nodes lead in turn; two servers, A (0) and B (1), may own the range.
 * The replicated log is reduced to its last entry, (term, owner, fence); entries
 * are ordered by (term, fence), and the fence grows with each new assignment.  The
 * generation is constant.  What is taken from the log here is checked in log.pml:
 *   - a quorum round of a leader succeeds only while no later election is won;
 *   - a newly elected leader has every committed entry, and may or may not have
 *     an entry that a former leader appended without committing it.
 *
 * A grant carries the fence of the range and renews the server's lease, which is one
 * for all ranges that the server owns: renewals without a fence go to both servers
 * besides, whoever owns this range, as they may own others.
 *
 * Time is a bounded counter.  Each server has a clock of its own, which starts
 * from zero in each incarnation; the clocks may lose DRIFT ticks in all.  Any
 * process may stop between any two steps for any length of time, so a paused
 * leader and a frozen server need no step of their own.  A message stays in its
 * slot after delivery (late and repeated delivery) until its sender overwrites it
 * or never delivers it (loss).
 *
 * Steps are joined and states are made equal only where that hides no violation:
 *   - A server's reading, and the quorum round of a renewal, take effect at the
 *     moment the server reads its clock.  A later arrival or success is possible
 *     only where this one is (a deposed leader stays deposed), gives the same end
 *     and makes the leader wait longer.  The renewal is sent at any later time.
 *   - Likewise a leader learns at once of its election, from which it waits, and
 *     of a commit; what it does next comes at any later time.
 *   - A grant is made as a commit, then a renewal.
 *   - A revoke is lost when its sender is elected anew, appends or is known to be
 *     deposed: delivered later, it could only make the server hold less.
 *   - What can have no effect any more is set to zero (forget_* below).
 *
 * The switches that remove one safeguard each are listed in check.sh.
 */

#ifndef MAX_TIME
#define MAX_TIME 5
#endif
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_FENCE
#define MAX_FENCE 1
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 0
#endif
#ifndef LEASE
#define LEASE 2
#endif
#ifndef DRIFT
#define DRIFT 0
#endif

#ifdef NO_DRIFT_ALLOWANCE
#define WAIT LEASE
#else
#define WAIT (LEASE + DRIFT)
#endif

#define NOT_REVOKED 0
#define REVOKE_SENT 1
#define REVOKE_ACKED 2

#define NODES 2
#define SERVERS 2

/* A control node; the term is zero while it has nothing of a leader. */
typedef Node {
  byte term;
  /* The last entry of its log. */
  byte entry_term;
  byte owner;
  byte fence;
  bit ready;            /* an entry of its own term is committed */
  bit committing;       /* its last entry is not committed yet */
  byte wait_until[SERVERS]; /* the server's lease is over from this time on */
  byte revoke;          /* revoke of the last entry's fence at its owner */
  bit has_renewal;      /* a quorum round is complete, the renewal is not sent */
  byte renewal_server;
  bit renewal_grants;   /* it carries the last entry's fence */
  byte renewal_incarnation;
  byte renewal_end;     /* in the server's clock */
  byte renewal_wait     /* in the leader's clock: what sending it adds to the wait */
};

typedef Server {
  byte incarnation;
  byte clock;
  byte end;             /* end of the lease, in this server's clock */
  bit holds;            /* it has a grant for the range */
  byte min_fence        /* grants with a lower fence are refused */
};

/* A grant in flight, one slot for each sender and server. */
typedef Grant {
  bit sent;
  byte fence;
  byte incarnation;
  byte end
};
typedef GrantSlots { Grant to[SERVERS] };

Node node[NODES];
Server server[SERVERS];
GrantSlots grant[NODES];
byte now;
byte lost_ticks;
byte restarts;

byte elected_term;      /* the latest term that a majority has voted in */
byte committed_term;    /* the last committed entry */
byte committed_owner;
byte committed_fence;

#ifdef NO_REVOKE_MATCH
/* The last acknowledgement of a revoke by each node, of whatever term. */
typedef Ack {
  bit sent;
  byte server;
  byte fence
};
Ack ack[NODES];
#endif

#define LATER(t1, f1, t2, f2) ((t1) > (t2) || ((t1) == (t2) && (f1) > (f2)))

/* Whether the last entry of node k is not committed and may still become so. */
#define HAS_OPEN_ENTRY(k) LATER(node[k].entry_term, node[k].fence, \
  committed_term, committed_fence)

#ifdef NO_LAPSE
#define BELIEVES(s) (server[s].holds)
#else
#define BELIEVES(s) (server[s].holds && server[s].clock < server[s].end)
#endif

#ifdef NO_INCARNATION
#define FOR_THIS_INCARNATION(s, k) true
#else
#define FOR_THIS_INCARNATION(s, k) (grant[k].to[s].incarnation == server[s].incarnation)
#endif

#ifdef NO_END_IN_SERVER_CLOCK
/* The message names a duration, counted from its arrival. */
#define NEW_END(s, k) (server[s].clock + LEASE)
#else
#define NEW_END(s, k) (grant[k].to[s].end)
#endif

#ifdef NO_GRANT_END
/* While its lease runs, the server does not look at the end named by a grant. */
#define IN_TIME(s, k) (NEW_END(s, k) > server[s].clock || server[s].end > server[s].clock)
#else
#define IN_TIME(s, k) (NEW_END(s, k) > server[s].clock)
#endif

/* A grant whose fence is refused still renews a lease that is the server's. */
#define PROLONGS(s, k) (NEW_END(s, k) > server[s].end)
#ifdef NO_FENCE
#define GRANTS(s, k) (!server[s].holds)
#else
#define GRANTS(s, k) (grant[k].to[s].fence > server[s].min_fence || \
  (grant[k].to[s].fence == server[s].min_fence && !server[s].holds))
#endif

#define MAY_TAKE_GRANT(s, k) (grant[k].to[s].sent && FOR_THIS_INCARNATION(s, k) && \
  IN_TIME(s, k) && (PROLONGS(s, k) || GRANTS(s, k)))

#if defined(NO_INCARNATION) || defined(NO_END_IN_SERVER_CLOCK) || defined(NO_FENCE) || \
    defined(NO_GRANT_END)
#define STAYS_REFUSED(s, k) false
#else
#define STAYS_REFUSED(s, k) (!MAY_TAKE_GRANT(s, k))
#endif

/* A grant that can never be accepted any more is taken out of its slot. */
inline forget_dead_grant(s, k) {
  if
  :: STAYS_REFUSED(s, k) ->
     grant[k].to[s].sent = 0;
     grant[k].to[s].fence = 0;
     grant[k].to[s].incarnation = 0;
     grant[k].to[s].end = 0
  :: else
  fi
}

inline forget_dead_grants(s) {
  forget_dead_grant(s, 0);
  forget_dead_grant(s, 1)
}

#ifdef NO_INCARNATION
#define RENEWS(i, s) (node[i].renewal_end > server[s].clock && \
  node[i].renewal_end > server[s].end)
#else
#define RENEWS(i, s) (node[i].renewal_end > server[s].clock && \
  node[i].renewal_end > server[s].end && \
  node[i].renewal_incarnation == server[s].incarnation)
#endif

inline drop_renewal(i) {
  node[i].has_renewal = 0;
  node[i].renewal_server = 0;
  node[i].renewal_grants = 0;
  node[i].renewal_incarnation = 0;
  node[i].renewal_end = 0;
  node[i].renewal_wait = 0
}

/* Take the reading of server s; the quorum round after it succeeds. */
inline prepare_renewal(i, s, grants) {
  node[i].has_renewal = 1;
  node[i].renewal_server = s;
  node[i].renewal_grants = grants;
  node[i].renewal_incarnation = server[s].incarnation;
  node[i].renewal_end = server[s].clock + LEASE;
  node[i].renewal_wait = now + WAIT;
  printf("t=%d node %d (term %d) has the reading of server %d: incarnation %d, clock %d\n",
         now, i, node[i].term, s, server[s].incarnation, server[s].clock)
}

/* The fence that a prepared grant would carry is not the last one any more. */
inline drop_grant(i) {
  if
  :: node[i].renewal_grants -> drop_renewal(i)
  :: else
  fi
}

/* Append a new assignment, which has a new fence. */
inline append_assignment(i) {
  drop_grant(i);
  node[i].revoke = NOT_REVOKED;
  node[i].entry_term = node[i].term;
  node[i].fence++;
#ifndef NO_COMMIT_BEFORE_GRANT
  node[i].committing = 1;
#endif
  printf("t=%d node %d (term %d) appends an assignment: owner %d, fence %d\n",
         now, i, node[i].term, node[i].owner, node[i].fence)
}

/* Send the prepared renewal to server s.  A grant goes to its slot.  A renewal alone
 * takes effect at once: it names its end, so that later it can do only less. */
inline send_renewal(i, s) {
  if
  :: node[i].renewal_wait > node[i].wait_until[s] ->
     node[i].wait_until[s] = node[i].renewal_wait
  :: else
  fi;
  if
  :: node[i].renewal_grants ->
     grant[i].to[s].sent = 1;
     grant[i].to[s].fence = node[i].fence;
     grant[i].to[s].incarnation = node[i].renewal_incarnation;
     grant[i].to[s].end = node[i].renewal_end;
     printf("t=%d node %d (term %d) sends server %d a grant: fence %d, incarnation %d, end %d\n",
            now, i, node[i].term, s, node[i].fence, node[i].renewal_incarnation,
            node[i].renewal_end)
  :: else ->
     printf("t=%d node %d (term %d) renews the lease of server %d: incarnation %d, end %d\n",
            now, i, node[i].term, s, node[i].renewal_incarnation, node[i].renewal_end);
     if
     :: RENEWS(i, s) ->
        server[s].end = node[i].renewal_end;
        assert(!(BELIEVES(0) && BELIEVES(1)))
     :: else
     fi
  fi;
  forget_dead_grants(s);
  drop_renewal(i);
  forget_past_wait(i)
}

inline forget_past_wait(i) {
  if
  :: node[i].wait_until[0] <= now -> node[i].wait_until[0] = 0
  :: else
  fi;
  if
  :: node[i].wait_until[1] <= now -> node[i].wait_until[1] = 0
  :: else
  fi
}

/* A deposed leader can still send the renewal that it has prepared.  Once a later
 * leader has committed, it can do nothing else. */
inline forget_deposed(k) {
  if
  :: node[k].term < committed_term && !node[k].has_renewal ->
     node[k].term = 0;
     node[k].entry_term = 0;
     node[k].owner = 0;
     node[k].fence = 0;
     node[k].ready = 0;
     node[k].wait_until[0] = 0;
     node[k].wait_until[1] = 0;
     node[k].revoke = NOT_REVOKED;
     node[k].committing = 0
  :: else
  fi
}

/* Node i wins an election with the last entry that it has now: it waits from now
 * on, and commits an entry of its own term before anything else. */
inline win_election(i) {
  elected_term++;
  printf("t=%d node %d is elected in term %d: last entry of term %d, owner %d, fence %d\n",
         now, i, elected_term, node[i].entry_term, node[i].owner, node[i].fence);
  node[i].term = elected_term;
  node[i].revoke = NOT_REVOKED;
  drop_renewal(i);
#ifdef NO_ELECTION_WAIT
  node[i].wait_until[0] = 0;
  node[i].wait_until[1] = 0;
#else
  node[i].wait_until[0] = now + WAIT;
  node[i].wait_until[1] = now + WAIT;
#endif
#ifdef NO_TERM_ENTRY
  node[i].ready = 1;
  node[i].committing = 0
#else
  node[i].ready = 0;
  node[i].entry_term = node[i].term;
  node[i].committing = 1
#endif
}

#define MAY_WIN(i) (elected_term < MAX_TERM && \
  (elected_term == 0 || node[i].term < elected_term))

#define MAY_ACK(i) (node[i].committing && node[i].term == elected_term)

/* A majority accepts the last entry of node i.  It follows what was committed
 * before: no assignment is lost or rolled back. */
inline acknowledge_commit(i) {
  node[i].committing = 0;
  node[i].ready = 1;
  assert(node[i].entry_term >= committed_term);
  assert(node[i].fence >= committed_fence);
  assert(node[i].fence > committed_fence || node[i].owner == committed_owner);
  committed_term = node[i].entry_term;
  committed_owner = node[i].owner;
  committed_fence = node[i].fence;
  printf("t=%d node %d (term %d) commits its entry: owner %d, fence %d\n",
         now, i, node[i].term, node[i].owner, node[i].fence);
  forget_deposed(0);
  forget_deposed(1)
}

/* An assignment is taken only from a server whose lease cannot run any more. */
#ifdef NO_REVOKE_MATCH
#define REVOKE_IS_ACKED(i) (node[i].revoke != NOT_REVOKED && ack[i].sent && \
  ack[i].server == node[i].owner && ack[i].fence == node[i].fence)
#else
#define REVOKE_IS_ACKED(i) (node[i].revoke == REVOKE_ACKED)
#endif
#ifdef NO_WAIT
#define OWNER_RELEASED(i) true
#else
#define OWNER_RELEASED(i) (now >= node[i].wait_until[node[i].owner] || REVOKE_IS_ACKED(i))
#endif

/* The entry of a deposed leader counts only while it may still be adopted. */
#define CAN_APPEND(i) (node[i].ready && !node[i].committing && node[i].fence < MAX_FENCE && \
  (node[i].term == elected_term || node[i].term > committed_term))

#ifdef NO_QUORUM_ROUND
#define QUORUM_ROUND_SUCCEEDS(i) true
#else
#define QUORUM_ROUND_SUCCEEDS(i) (node[i].term == elected_term)
#endif

#define MAY_RENEW(i) (node[i].ready && !node[i].committing && !node[i].has_renewal && \
  QUORUM_ROUND_SUCCEEDS(i))
#define MAY_GRANT(i, s) (node[i].owner == s && node[i].revoke == NOT_REVOKED)

/* The reading used is one that arrived after the quorum round. */
inline renew_reading(i, s) {
#ifdef READING_AFTER_ROUND
  node[i].renewal_incarnation = server[s].incarnation;
  node[i].renewal_end = server[s].clock + LEASE;
  node[i].renewal_wait = now + WAIT
#else
  skip
#endif
}

proctype ControlNode(byte i) {
  byte peer = 1 - i;
end:
  do
  /* It wins with the last committed entry, or with one that it or its peer has
   * appended and not committed. */
  :: d_step { MAY_WIN(i) ->
       node[i].entry_term = committed_term;
       node[i].owner = committed_owner;
       node[i].fence = committed_fence;
       win_election(i) }
  :: d_step { MAY_WIN(i) && HAS_OPEN_ENTRY(i) -> win_election(i) }
  :: d_step { MAY_WIN(i) && HAS_OPEN_ENTRY(peer) ->
       node[i].entry_term = node[peer].entry_term;
       node[i].owner = node[peer].owner;
       node[i].fence = node[peer].fence;
       win_election(i) }

  :: d_step { MAY_ACK(i) -> acknowledge_commit(i) }
  /* Renewal: a reading, a quorum round, and the message at any later time. */
  :: d_step { MAY_RENEW(i) -> prepare_renewal(i, 0, 0) }
  :: d_step { MAY_RENEW(i) -> prepare_renewal(i, 1, 0) }
  :: d_step { MAY_RENEW(i) && MAY_GRANT(i, 0) -> prepare_renewal(i, 0, 1) }
  :: d_step { MAY_RENEW(i) && MAY_GRANT(i, 1) -> prepare_renewal(i, 1, 1) }
  :: d_step { node[i].has_renewal && node[i].renewal_server == 0 ->
       renew_reading(i, 0);
       send_renewal(i, 0);
       forget_deposed(i) }
  :: d_step { node[i].has_renewal && node[i].renewal_server == 1 ->
       renew_reading(i, 1);
       send_renewal(i, 1);
       forget_deposed(i) }

  /* Move the range to the other server. */
  :: d_step { CAN_APPEND(i) && OWNER_RELEASED(i) ->
       node[i].owner = 1 - node[i].owner;
       append_assignment(i) }

  /* Change of forwarder: a new fence for the same server, without a wait. */
  :: d_step { CAN_APPEND(i) -> append_assignment(i) }

  /* Revoke; nothing is granted afterwards under that fence. */
  :: d_step { node[i].ready && !node[i].committing && node[i].revoke == NOT_REVOKED &&
              node[i].term == elected_term ->
       drop_grant(i);
       node[i].revoke = REVOKE_SENT;
       printf("t=%d node %d (term %d) revokes fence %d at server %d\n",
              now, i, node[i].term, node[i].fence, node[i].owner) }
  od
}

inline take_grant(s, k) {
  if
  :: GRANTS(s, k) ->
     server[s].min_fence = grant[k].to[s].fence;
     server[s].holds = 1
  :: else
  fi;
  if
  :: PROLONGS(s, k) -> server[s].end = NEW_END(s, k)
  :: else
  fi;
  printf("t=%d server %d (clock %d) takes the grant of node %d: fence %d, lease until %d\n",
         now, s, server[s].clock, k, server[s].min_fence, server[s].end);
  assert(!(BELIEVES(0) && BELIEVES(1)));
  forget_dead_grants(s)
}

/* The acknowledgement names the revoke: its fence and the leader's term.
 * Afterwards the server holds nothing with that fence or a lower one. */
inline take_revoke(s, k) {
  if
  :: node[k].fence >= server[s].min_fence ->
     server[s].holds = 0;
     server[s].min_fence = node[k].fence + 1
  :: else
  fi;
  node[k].revoke = REVOKE_ACKED;
#ifdef NO_REVOKE_MATCH
  ack[k].sent = 1;
  ack[k].server = s;
  ack[k].fence = node[k].fence;
#endif
  printf("t=%d server %d acknowledges the revoke of fence %d by node %d in term %d\n",
         now, s, node[k].fence, k, node[k].term);
  forget_dead_grants(s)
}

#define MAY_TAKE_REVOKE(s, k) (node[k].revoke == REVOKE_SENT && node[k].owner == s)

proctype ServerProcess(byte s) {
end:
  do
  :: d_step { MAY_TAKE_GRANT(s, 0) -> take_grant(s, 0) }
  :: d_step { MAY_TAKE_GRANT(s, 1) -> take_grant(s, 1) }
  :: d_step { MAY_TAKE_REVOKE(s, 0) -> take_revoke(s, 0) }
  :: d_step { MAY_TAKE_REVOKE(s, 1) -> take_revoke(s, 1) }
  /* Restart: nothing is kept, and the clock starts anew. */
  :: d_step { restarts < MAX_RESTARTS ->
       restarts++;
       server[s].incarnation++;
       server[s].clock = 0;
       server[s].holds = 0;
       server[s].end = 0;
       server[s].min_fence = 0;
       printf("t=%d server %d restarts: incarnation %d\n", now, s, server[s].incarnation);
       forget_dead_grants(s) }
  od
}

inline advance_clock(s) {
  server[s].clock++;
#ifndef NO_LAPSE
  if
  :: server[s].end > 0 && server[s].clock >= server[s].end ->
     server[s].holds = 0;
     server[s].end = 0;
     printf("t=%d the lease of server %d lapses at clock %d\n", now, s, server[s].clock)
  :: else
  fi;
#endif
  forget_dead_grants(s)
}

inline forget_past_waits() {
  forget_past_wait(0);
  forget_past_wait(1)
}

proctype Clock() {
end:
  do
  :: d_step { now < MAX_TIME -> now++; advance_clock(0); advance_clock(1); forget_past_waits() }
  :: d_step { now < MAX_TIME && lost_ticks < DRIFT ->
       now++; lost_ticks++; advance_clock(0); forget_past_waits();
       printf("t=%d the clock of server 1 loses a tick\n", now) }
  :: d_step { now < MAX_TIME && lost_ticks < DRIFT ->
       now++; lost_ticks++; advance_clock(1); forget_past_waits();
       printf("t=%d the clock of server 0 loses a tick\n", now) }
  od
}

init {
  atomic {
    run ControlNode(0);
    run ControlNode(1);
    run ServerProcess(0);
    run ServerProcess(1);
    run Clock()
  }
}
