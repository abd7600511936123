/*
 * log.pml - the replicated log of the control group.
 *
 * Three replicas; each may stand for election.  A log is reduced to its last
 * entry, (term, index): a later entry carries the whole state.  Messages to a
 * replica arrive late, repeatedly or never: the append message of a leader stays
 * in its slot until the leader sends the next one; a vote and an acknowledgement
 * take effect at their sender at once and at the receiver at any later time.
 *
 * Checked:
 *   - an entry that a majority has accepted in its own term is in the log of every
 *     leader of a later term;
 *   - when a quorum round of a leader is acknowledged, no later term has been voted.
 * ownership.pml and configuration.pml rest on both.
 *
 * The switches that remove one safeguard each are listed in check.sh.
 */

#ifndef MAX_TERM
#define MAX_TERM 4
#endif
#ifndef MAX_INDEX
#define MAX_INDEX 4
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define REPLICAS 3

typedef Replica {
  byte role;
  byte term;
  /* The last entry of its log. */
  byte entry_term;
  byte index;
  bit has_vote;           /* candidate: a second vote has arrived */
  bit round_open;         /* leader: a quorum round is open */
  bit round_acked;        /* a second replica has acknowledged it */
  /* The append message in flight. */
  bit append_sent;
  byte append_term;
  byte append_entry_term;
  byte append_index
};

Replica replica[REPLICAS];
byte voted_term;          /* the latest term that a majority has voted in */
byte committed_term;      /* the last committed entry */
byte committed_index;

#define LATER(t1, i1, t2, i2) ((t1) > (t2) || ((t1) == (t2) && (i1) > (i2)))

inline clear_leader(j) {
  replica[j].role = FOLLOWER;
  replica[j].has_vote = 0;
  replica[j].round_open = 0;
  replica[j].round_acked = 0
}

inline begin_round(i) {
  replica[i].round_open = 1;
  replica[i].round_acked = 0;
  replica[i].append_sent = 1;
  replica[i].append_term = replica[i].term;
  replica[i].append_entry_term = replica[i].entry_term;
  replica[i].append_index = replica[i].index;
#ifdef NO_MAJORITY
  replica[i].round_acked = 1;
  if
  :: LATER(replica[i].entry_term, replica[i].index, committed_term, committed_index) ->
     committed_term = replica[i].entry_term;
     committed_index = replica[i].index
  :: else
  fi
#endif
}

#ifdef NO_LOG_COMPARISON
#define MAY_VOTE(i, j) (replica[i].role == CANDIDATE && replica[j].term < replica[i].term)
#else
#define MAY_VOTE(i, j) (replica[i].role == CANDIDATE && replica[j].term < replica[i].term && \
  !LATER(replica[j].entry_term, replica[j].index, replica[i].entry_term, replica[i].index))
#endif

/* Replica j votes for candidate i, which has voted for itself. */
inline vote(i, j) {
  clear_leader(j);
  replica[j].term = replica[i].term;
  replica[i].has_vote = 1;
  if
  :: replica[i].term > voted_term -> voted_term = replica[i].term
  :: else
  fi;
  printf("replica %d votes for replica %d in term %d\n", j, i, replica[i].term)
}

/* A round of the leader is still open when the message in flight is that round's. */
#define ROUND_IS_OPEN(i) (replica[i].role == LEADER && replica[i].round_open && \
  !replica[i].round_acked && replica[i].term == replica[i].append_term)

#define APPEND_IS_NEWS(i, j) LATER(replica[i].append_entry_term, replica[i].append_index, \
  replica[j].entry_term, replica[j].index)

#define MAY_ACCEPT(i, j) (replica[i].append_sent && replica[j].term <= replica[i].append_term && \
  (replica[j].term < replica[i].append_term || APPEND_IS_NEWS(i, j) || ROUND_IS_OPEN(i)))

/* The sender still has the entry that replica j has just accepted. */
#define SENDER_HAS_ENTRY(i) (replica[i].entry_term == replica[i].append_entry_term && \
  replica[i].index >= replica[i].append_index)

#ifdef NO_TERM_ENTRY
/* An entry of an earlier term counts as committed once a majority has it. */
#define MAY_COUNT(i) true
#else
#define MAY_COUNT(i) (replica[i].append_entry_term == replica[i].append_term)
#endif

/* Replica j receives the append message of replica i and acknowledges it. */
inline accept_append(i, j) {
  if
  :: replica[j].term < replica[i].append_term || replica[j].role == CANDIDATE -> clear_leader(j)
  :: else
  fi;
  replica[j].term = replica[i].append_term;
  if
  :: APPEND_IS_NEWS(i, j) ->
     replica[j].entry_term = replica[i].append_entry_term;
     replica[j].index = replica[i].append_index
  :: else
  fi;
  printf("replica %d accepts the append of replica %d in term %d: last entry of term %d, index %d\n",
         j, i, replica[i].append_term, replica[i].append_entry_term, replica[i].append_index);
  if
  :: MAY_COUNT(i) && SENDER_HAS_ENTRY(i) &&
     replica[j].entry_term == replica[i].append_entry_term &&
     LATER(replica[i].append_entry_term, replica[i].append_index,
           committed_term, committed_index) ->
     committed_term = replica[i].append_entry_term;
     committed_index = replica[i].append_index;
     printf("a majority has the entry of term %d, index %d\n", committed_term, committed_index)
  :: else
  fi;
  if
  :: ROUND_IS_OPEN(i) ->
     replica[i].round_acked = 1;
#ifndef REPLICA_KEEPS_IDENTITY
     /* That variant is to show the graver fault, the loss of a committed entry. */
     assert(voted_term <= replica[i].term)
#endif
  :: else
  fi
}

/* A leader of a later term has all that was committed before.  (A leader may learn
 * late of its election in an earlier term; it can commit nothing.) */
inline check_new_leader(i) {
  if
  :: replica[i].term > committed_term ->
     assert(!LATER(committed_term, committed_index, replica[i].entry_term, replica[i].index))
  :: else
  fi
}

proctype ReplicaProcess(byte i) {
  byte left = (i + 1) % REPLICAS;
  byte right = (i + 2) % REPLICAS;
end:
  do
  :: d_step { replica[i].role != LEADER && replica[i].term < MAX_TERM ->
       clear_leader(i);
       replica[i].term++;
       replica[i].role = CANDIDATE;
       printf("replica %d stands for election in term %d\n", i, replica[i].term) }
  :: d_step { MAY_VOTE(i, left) -> vote(i, left) }
  :: d_step { MAY_VOTE(i, right) -> vote(i, right) }
  :: d_step { replica[i].role == CANDIDATE && replica[i].has_vote &&
              replica[i].index < MAX_INDEX ->
       printf("replica %d leads term %d: last entry of term %d, index %d\n",
              i, replica[i].term, replica[i].entry_term, replica[i].index);
       check_new_leader(i);
       replica[i].role = LEADER;
       replica[i].has_vote = 0;
#ifndef NO_TERM_ENTRY
       replica[i].entry_term = replica[i].term;
       replica[i].index++;
#endif
       begin_round(i) }
  :: d_step { MAY_ACCEPT(i, left) -> accept_append(i, left) }
  :: d_step { MAY_ACCEPT(i, right) -> accept_append(i, right) }
  /* The round is complete; another one, with or without a new entry, may begin. */
  :: d_step { replica[i].round_acked ->
       replica[i].round_open = 0;
       replica[i].round_acked = 0 }
  :: d_step { replica[i].role == LEADER && !replica[i].round_open && replica[i].index < MAX_INDEX ->
       replica[i].entry_term = replica[i].term;
       replica[i].index++;
       printf("replica %d appends: term %d, index %d\n", i, replica[i].term, replica[i].index);
       begin_round(i) }
  :: d_step { replica[i].role == LEADER && !replica[i].round_open -> begin_round(i) }
  od
}

#ifdef REPLICA_KEEPS_IDENTITY
/* A restarted replica has lost its memory and yet acts as the same member.  In the
 * full model it acts no more, which the stop of a process at any point covers. */
proctype Restart() {
  d_step {
    clear_leader(2);
    replica[2].term = 0;
    replica[2].entry_term = 0;
    replica[2].index = 0;
    printf("replica 2 restarts with an empty memory and keeps its identity\n")
  }
}
#endif

init {
  atomic {
    run ReplicaProcess(0);
    run ReplicaProcess(1);
    run ReplicaProcess(2);
#ifdef REPLICA_KEEPS_IDENTITY
    run Restart();
#endif
  }
}
