/*
 * configuration.pml - how a configuration comes into force.
 *
 * Operators race with plans, each computed from some version of the configuration.
 * A leader writes a confirmed plan to the store on the condition that the store
 * still has that version, and then commits the new version in the replicated log;
 * only then is the operator told that the plan is accepted, and nodes put it in
 * force.  The stored object names the plans that made its recent versions.
 *
 * The store's writes arrive late, repeatedly or never, and so do its answers.  An
 * outage of the store is a delay.  Reads and watches may show any former version.
 * Two nodes lead in turn; a deposed leader goes on until it is stopped by the
 * condition or by the log.  The log is the abstract one of ownership.pml: a commit
 * succeeds only while no later election is won (log.pml).  Once, a majority of
 * the control group may be lost: a new generation then starts from the store.
 *
 * The switches that remove one safeguard each are listed in check.sh.
 */

#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_GENERATION
#define MAX_GENERATION 1
#endif
#define PLANS 3
#define MAX_VERSION 3
#define NODES 2
#define OBSERVERS 2

/* States of a plan as the operator sees it. */
#define NOT_MADE 0
#define MADE 1
#define CONFIRMED 2

#define UNKNOWN 0
#define ACCEPTED 1
#define REFUSED 2

/* What a leader is doing. */
#define IDLE 0
#define WRITING 1
#define SETTLING 2
#define COMMITTING 3

#define NO_ANSWER 0
#define WRITTEN 1
#define CONFLICT 2

#define NO_PLAN 255

typedef Plan {
  byte state;
  byte base;              /* the version it was computed from */
  bit write_sent;         /* a write may reach the store at any time from now on */
  byte told;              /* what the operator was told */
  bit was_in_force        /* some node has put it in force */
};

typedef Leader {
  byte term;
  byte known;             /* the latest version that it knows to be committed */
  byte phase;
  byte plan;              /* the plan in hand */
  byte answer;            /* the store's answer to its write */
  byte version            /* the version to commit */
};

Plan plan[PLANS];
Leader leader[NODES];
byte stored_version;
byte stored_plan[MAX_VERSION + 1];     /* the plan that made each version */
byte committed_version;
byte committed_plan[MAX_VERSION + 1];
byte elected_term;
byte generation;
byte in_force[OBSERVERS];
byte current;             /* the plan or version in hand within a step, then zero */

/* Whether the object at version v names plan p. */
#define NAMES_PLAN(array, v, p) (((v) >= 1 && array[1] == (p)) || \
  ((v) >= 2 && array[2] == (p)) || ((v) >= 3 && array[3] == (p)))

inline go_idle(i) {
  leader[i].phase = IDLE;
  leader[i].plan = NO_PLAN;
  leader[i].answer = NO_ANSWER;
  leader[i].version = 0
}

/* What was told stands: one answer for each plan, and of the plans computed from
 * one version at most one accepted. */
inline tell(p, outcome) {
  assert(plan[p].told == UNKNOWN || plan[p].told == outcome);
  plan[p].told = outcome;
  assert(outcome == ACCEPTED || !plan[p].was_in_force);
  assert(!(plan[0].told == ACCEPTED && plan[1].told == ACCEPTED && plan[0].base == plan[1].base));
  assert(!(plan[0].told == ACCEPTED && plan[2].told == ACCEPTED && plan[0].base == plan[2].base));
  assert(!(plan[1].told == ACCEPTED && plan[2].told == ACCEPTED && plan[1].base == plan[2].base));
  if
  :: outcome == ACCEPTED -> printf("plan %d (from version %d) is accepted\n", p, plan[p].base)
  :: else -> printf("plan %d (from version %d) is refused\n", p, plan[p].base)
  fi
}

#define ACCEPTED_STANDS(p) (plan[p].told != ACCEPTED || \
  NAMES_PLAN(committed_plan, committed_version, p))

/* Replace the committed configuration by version v of the store. */
inline commit_version(v) {
  assert(v >= committed_version);
  committed_version = v;
  committed_plan[1] = (v >= 1 -> stored_plan[1] : NO_PLAN);
  committed_plan[2] = (v >= 2 -> stored_plan[2] : NO_PLAN);
  committed_plan[3] = (v >= 3 -> stored_plan[3] : NO_PLAN);
  assert(ACCEPTED_STANDS(0) && ACCEPTED_STANDS(1) && ACCEPTED_STANDS(2))
}

#ifdef NO_STORE_FIRST
/* The plan is committed in the log before it is in the store. */
inline commit_plan(p) {
  committed_version++;
  committed_plan[committed_version] = p
}
#endif

proctype Operator(byte p) {
end:
  do
  :: d_step { plan[p].state == NOT_MADE && committed_version < MAX_VERSION ->
       plan[p].state = MADE;
       plan[p].base = committed_version;
       printf("plan %d is computed from version %d\n", p, plan[p].base) }
  :: d_step { plan[p].state == MADE ->
       plan[p].state = CONFIRMED;
       printf("plan %d is confirmed\n", p) }
  od
}

#define MAY_TAKE(i, p) (leader[i].term > 0 && leader[i].phase == IDLE && \
  plan[p].state == CONFIRMED && plan[p].told == UNKNOWN)

/* Leader i takes the confirmed plan p. */
inline take_plan(i, p) {
  if
  :: leader[i].known == plan[p].base ->
#ifdef NO_STORE_FIRST
     if
     :: leader[i].term == elected_term && committed_version == plan[p].base ->
        commit_plan(p);
        leader[i].known = committed_version;
        tell(p, ACCEPTED)
     :: else
     fi;
     plan[p].write_sent = 1
#else
     leader[i].plan = p;
     leader[i].phase = WRITING;
     plan[p].write_sent = 1;
     printf("leader %d (term %d) writes plan %d on version %d\n",
            i, leader[i].term, p, plan[p].base)
#endif
  :: leader[i].known > plan[p].base ->
     if
     :: NAMES_PLAN(committed_plan, leader[i].known, p) -> tell(p, ACCEPTED)
     :: else -> tell(p, REFUSED)
     fi
  :: else
  fi
}

/* Leader i reads the object, as it was at version v, for the plan in hand. */
inline settle(i, v) {
  current = leader[i].plan;
  printf("leader %d (term %d) reads the object at version %d for plan %d\n",
         i, leader[i].term, v, current);
  if
  :: NAMES_PLAN(stored_plan, v, current) ->
     leader[i].phase = COMMITTING;
     leader[i].version = v
  :: else ->
     if
#ifdef BASE_MEANS_REFUSED
     :: v >= plan[current].base ->
#else
     :: v > plan[current].base ->
#endif
        tell(current, REFUSED);
        go_idle(i)
     :: else ->
        /* The write may still come: only the same write again settles it. */
        leader[i].phase = WRITING;
        leader[i].answer = NO_ANSWER
     fi
  fi;
  current = 0
}

proctype LeaderProcess(byte i) {
end:
  do
  :: d_step { elected_term < MAX_TERM && (leader[i].term < elected_term || elected_term == 0) ->
       elected_term++;
       leader[i].term = elected_term;
       leader[i].known = committed_version;
       go_idle(i);
       printf("leader %d is elected in term %d\n", i, elected_term) }
  :: d_step { MAY_TAKE(i, 0) && leader[i].known >= plan[0].base -> take_plan(i, 0) }
  :: d_step { MAY_TAKE(i, 1) && leader[i].known >= plan[1].base -> take_plan(i, 1) }
  :: d_step { MAY_TAKE(i, 2) && leader[i].known >= plan[2].base -> take_plan(i, 2) }

  :: d_step { leader[i].phase == WRITING && leader[i].answer == WRITTEN ->
       leader[i].answer = NO_ANSWER;
       leader[i].phase = COMMITTING;
       leader[i].version = plan[leader[i].plan].base + 1 }
  :: d_step { leader[i].phase == WRITING && leader[i].answer == CONFLICT ->
#ifdef CONFLICT_MEANS_REFUSED
       current = leader[i].plan;
       tell(current, REFUSED);
       current = 0;
       go_idle(i)
#else
       leader[i].answer = NO_ANSWER;
       leader[i].phase = SETTLING
#endif
     }
  :: d_step { leader[i].phase == WRITING ->
       printf("leader %d (term %d) has no answer to its write of plan %d\n",
              i, leader[i].term, leader[i].plan);
#ifdef NO_READ_BACK
       current = leader[i].plan;
       tell(current, REFUSED);
       current = 0;
       go_idle(i)
#else
       leader[i].answer = NO_ANSWER;
       leader[i].phase = SETTLING
#endif
     }
  :: d_step { leader[i].phase == SETTLING && plan[leader[i].plan].base <= stored_version ->
       settle(i, plan[leader[i].plan].base) }
  :: d_step { leader[i].phase == SETTLING && plan[leader[i].plan].base < stored_version ->
       settle(i, stored_version) }
  :: d_step { leader[i].phase == SETTLING && plan[leader[i].plan].base + 1 < stored_version ->
       settle(i, plan[leader[i].plan].base + 1) }

  /* A watch shows some version of the object, perhaps an old one. */
  :: d_step { leader[i].term > 0 && leader[i].phase == IDLE && stored_version >= 1 ->
       leader[i].phase = COMMITTING; leader[i].version = 1 }
  :: d_step { leader[i].term > 0 && leader[i].phase == IDLE && stored_version >= 2 ->
       leader[i].phase = COMMITTING; leader[i].version = 2 }
  :: d_step { leader[i].term > 0 && leader[i].phase == IDLE && stored_version >= 3 ->
       leader[i].phase = COMMITTING; leader[i].version = 3 }

  /* Commit in the log; a version that is not later is ignored. */
#ifdef NO_TERM_CHECK
  :: d_step { leader[i].phase == COMMITTING ->
#else
  :: d_step { leader[i].phase == COMMITTING && leader[i].term == elected_term ->
#endif
       if
#ifdef NO_VERSION_ORDER
       :: true ->
#else
       :: leader[i].version > leader[i].known ->
#endif
          printf("leader %d (term %d) commits version %d\n",
                 i, leader[i].term, leader[i].version);
          current = leader[i].version;
          commit_version(current);
          current = 0;
          leader[i].known = leader[i].version
       :: else
       fi;
       if
       :: leader[i].plan != NO_PLAN ->
          current = leader[i].plan;
          tell(current, ACCEPTED);
          current = 0
       :: else
       fi;
       go_idle(i) }
  od
}

inline answer_write(i, p, result) {
  if
  :: leader[i].phase == WRITING && leader[i].plan == p -> leader[i].answer = result
  :: else
  fi
}

#define STORE_KEEPS(p) (plan[p].told != ACCEPTED || NAMES_PLAN(stored_plan, stored_version, p))

/* The store receives the write of plan p: the configuration of its base, changed. */
inline write(p) {
  if
#ifdef NO_CONDITIONAL_WRITE
  :: true ->
     stored_plan[2] = NO_PLAN;
     stored_plan[3] = NO_PLAN;
#else
  :: stored_version == plan[p].base ->
     assert(plan[p].told != REFUSED);
#endif
     stored_version = plan[p].base + 1;
     stored_plan[stored_version] = p;
     printf("the store has plan %d as version %d\n", p, stored_version);
     answer_write(0, p, WRITTEN);
     answer_write(1, p, WRITTEN);
     assert(STORE_KEEPS(0) && STORE_KEEPS(1) && STORE_KEEPS(2))
  :: else ->
     printf("the store refuses a write of plan %d on version %d\n", p, plan[p].base);
     answer_write(0, p, CONFLICT);
     answer_write(1, p, CONFLICT)
  fi
}

proctype Store() {
end:
  do
  :: d_step { plan[0].write_sent -> write(0) }
  :: d_step { plan[1].write_sent -> write(1) }
  :: d_step { plan[2].write_sent -> write(2) }
  od
}

/* A majority of the control group is lost, and with it the log: a new generation
 * starts from the store.  What was in force or accepted is still there. */
proctype Generation() {
end:
  do
  :: d_step { generation < MAX_GENERATION && elected_term < MAX_TERM ->
       generation++;
       elected_term++;
       printf("the log is lost; a new generation starts from version %d of the store\n",
              stored_version);
       commit_version(stored_version) }
  od
}

/* A node hears of some committed version, perhaps late. */
inline put_in_force(n, v) {
  assert(v >= in_force[n]);
  in_force[n] = v;
  plan[committed_plan[v]].was_in_force = 1;
  assert(plan[committed_plan[v]].told != REFUSED);
  printf("observer %d has version %d (plan %d) in force\n", n, v, committed_plan[v])
}

#ifdef NO_NODE_ORDER
#define MAY_PUT_IN_FORCE(n, v) (committed_version >= (v) && in_force[n] != (v))
#else
#define MAY_PUT_IN_FORCE(n, v) (committed_version >= (v) && in_force[n] < (v))
#endif

proctype Observer(byte n) {
end:
  do
  :: d_step { MAY_PUT_IN_FORCE(n, 1) -> put_in_force(n, 1) }
  :: d_step { MAY_PUT_IN_FORCE(n, 2) -> put_in_force(n, 2) }
  :: d_step { MAY_PUT_IN_FORCE(n, 3) -> put_in_force(n, 3) }
  od
}

init {
  d_step {
    stored_plan[0] = NO_PLAN; stored_plan[1] = NO_PLAN;
    stored_plan[2] = NO_PLAN; stored_plan[3] = NO_PLAN;
    committed_plan[0] = NO_PLAN; committed_plan[1] = NO_PLAN;
    committed_plan[2] = NO_PLAN; committed_plan[3] = NO_PLAN;
    leader[0].plan = NO_PLAN;
    leader[1].plan = NO_PLAN
  }
  atomic {
    run Operator(0);
    run Operator(1);
    run Operator(2);
    run LeaderProcess(0);
    run LeaderProcess(1);
    run Store();
    run Generation();
    run Observer(0);
    run Observer(1)
  }
}
