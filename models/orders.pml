/* Auditor, order, lease and router, for Spin: what docs/audit.md promises of them.
 *
 * Two auditors over one store, of which either may die and begin again with a new term; two routers of one site,
 * which each may be paused, restarted and be behind; order files of one place a router, written whole, read late or
 * twice; a clock in steps, at which orders lapse. Promised:
 *   - no order of a lower term is obeyed after one of a higher term by the same process;
 *   - the guard: never are both routers of the site out by order at once;
 *   - a router that is not behind always comes back (liveness, under weak fairness).
 */

#define LASTS 2          /* steps that an order holds */
#define MOST_STEPS 4     /* of the clock: bounds the search */
#define MOST_TERM 2
#define NONE 0
#define ASIDE 1
#define BACK 2

byte clock = 0;
byte store_term = 0;

/* The order file of each router: term, number, step, until. */
byte file_term[2]; byte file_number[2]; byte file_step[2]; byte file_until[2];
/* What the store knows of orders that may still hold. */
byte kept_until[2];

bool behind[2];          /* truth */
bool out[2];             /* the router's own state */
byte holds_until[2];
byte seen_term[2]; byte seen_number[2];
bool broken = false;     /* a lower term was obeyed */

inline obey(r) {
  /* Read whole; refused: a lower term, an old number, a lapsed one. */
  if
  :: file_term[r] == 0 -> skip
  :: file_term[r] != 0 && file_term[r] < seen_term[r] -> skip
  :: file_term[r] == seen_term[r] && file_number[r] <= seen_number[r] -> skip
  :: file_term[r] != 0 && clock >= file_until[r] -> skip
  :: file_term[r] != 0 && clock < file_until[r] && (file_term[r] > seen_term[r] ||
       (file_term[r] == seen_term[r] && file_number[r] > seen_number[r])) ->
       if :: file_term[r] < seen_term[r] -> broken = true :: else fi;
       seen_term[r] = file_term[r]; seen_number[r] = file_number[r];
       if
       :: file_step[r] == ASIDE -> out[r] = true; holds_until[r] = file_until[r]
       :: file_step[r] == BACK -> out[r] = false; holds_until[r] = 0
       fi
  fi
}

proctype Router(byte r) {
  do
  :: clock < MOST_STEPS ->
     if
     :: atomic { obey(r) }
     :: atomic { out[r] && clock >= holds_until[r] -> out[r] = false; holds_until[r] = 0 }  /* lapsed */
     :: atomic { r == 0 && out[r] -> out[r] = false; holds_until[r] = 0; seen_term[r] = 0; seen_number[r] = 0 }  /* restarted */
     :: atomic { behind[r] -> behind[r] = false }                             /* brought up */
     :: atomic { clock < 1 && !behind[r] -> behind[r] = true }
     fi
  :: clock >= MOST_STEPS ->
     /* The end of the world that is searched: what holds lapses. */
     atomic { if :: out[r] && clock >= holds_until[r] -> out[r] = false :: else fi };
     break
  od
}

proctype Auditor() {
  byte term = 0; byte number = 0; byte r; byte other;
  do
  :: clock < MOST_STEPS ->
     if
     :: term == 0 && store_term < MOST_TERM ->
        /* A new one, or one that died and began again: a term above all, in one transaction. */
        atomic { store_term++; term = store_term; number = 0 }
     :: term != 0 && store_term > term -> break                /* overtaken: it stops */
     :: term != 0 -> term = 0                                  /* dies between two steps */
     :: term != 0 && store_term == term ->
        /* One round in two steps, as it is in the program: kept in the store first, then the file. */
        select (r : 0 .. 1); other = 1 - r;
        if
        :: atomic { store_term == term && behind[r] && number < 2 &&
             /* the guard: the other one of the site is neither out nor may be by an order that still holds */
             !out[other] && clock >= kept_until[other] && clock + LASTS <= MOST_STEPS ->
             number++; kept_until[r] = clock + LASTS };
           if
           :: atomic { file_term[r] = term; file_number[r] = number; file_step[r] = ASIDE; file_until[r] = kept_until[r] }
           :: term = 0                                          /* dies between store and file */
           fi
        :: atomic { store_term == term && !behind[r] && number < 2 && clock < kept_until[r] ->
             number++; file_term[r] = term; file_number[r] = number; file_step[r] = BACK; file_until[r] = clock + LASTS }
        :: skip
        fi
     :: else -> break
     fi
  :: clock >= MOST_STEPS -> break
  od
}

proctype Clock() {
  do
  :: clock < MOST_STEPS -> clock++
  :: clock >= MOST_STEPS -> break
  od
}

init {
  atomic { run Clock(); run Router(0); run Router(1); run Auditor(); run Auditor() }
}

ltl no_lower_term { [] !broken }
ltl one_stays { [] !(out[0] && out[1]) }
ltl comes_back { [] (out[0] -> <> !out[0]) }
