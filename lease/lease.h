#pragma once

#include "board/message.h"

struct GspanBoard;

enum GspanLeaseState
{
  GSPAN_LEASE_IDLE,     /* nothing is open */
  GSPAN_LEASE_READING,  /* a read is under way */
  GSPAN_LEASE_WRITING,  /* a conditional write is under way */
  GSPAN_LEASE_VERIFYING /* it is not known whether the last write landed; the object has to say */
};

enum GspanLeaseWriteKind
{
  GSPAN_LEASE_ACQUIRE_OR_RENEW, /* takes or renews the lease */
  GSPAN_LEASE_RELEASE,          /* gives it up */
  GSPAN_LEASE_RECREATE          /* makes a deleted object anew, to be taken after a whole life */
};

/* The conditional write that was sent last. */
struct GspanLeaseWrite
{
  char write_id[80]; /* unique; the object's writer field tells by it which write landed */
  guint64 sent_at_us;
  guint64 fencing_token;
  guint64 expected_revision; /* version that it replaces; 0 is none */
  enum GspanLeaseWriteKind kind;
  bool previous_holder_released; /* takes over from a holder that released */
};

/*
 * One lease object of the platform, "lease/NAME". Its fencing number rises at each change of holder
 * and is never used again, also when the object is deleted and made anew: a new object starts above
 * the store's revision, which no fencing number exceeds. The holder counts its time from before it
 * sent the write and stops a margin early, so that its belief ends before anybody else's begins.
 * All times are microseconds of the board's clock.
 */
struct GspanLease
{
  guint64 id;
  char *name;
  bool should_hold;
  bool has_open_work; /* set by its user: work under this lease is still open, don't release yet */
  bool record_was_in_force; /* the record that the lease is for has been in force here */
  enum GspanLeaseState state;
  bool call_in_flight;            /* a call is under way; there is never a second one */
  guint64 revision;               /* of the object as last seen */
  guint64 revision_seen_at_us;    /* when that version was first seen; 0 is never */
  guint64 available_since_us;     /* since when it could have been taken over; 0 is not */
  guint64 fencing_token;          /* of the object as last seen */
  guint64 highest_fencing_token;  /* highest fencing number heard of */
  guint64 held_until_us;          /* 0 where not held */
  guint64 acquired_at_us;         /* when the present hold began */
  bool previous_holder_released;  /* the holder before released, so nothing of its work is open */
  guint64 next_call_at_us;        /* next read or renewal */
  guint consecutive_failures;     /* calls in a row without a useful answer */
  guint64 last_unreachable_at_us; /* last call that did not reach the platform; 0 is never */
  bool expired_without_successor; /* ran out in this process's hands, and no other holder has been
                                     seen since */
  struct GspanLeaseWrite write;
};

struct GspanLeases
{
  GPtrArray *items;
  guint64 duration_us;
  guint64 next_write_number;
};

void gspan_leases_init (struct GspanLeases *leases, guint64 duration_us);
void gspan_leases_finish (struct GspanLeases *leases);

/*
 * The lease called NAME, created on first use, wanted from now on. Lives as long as LEASES. A NAME
 * of the form "KIND.RECORD" is given up by itself when that record goes out of force.
 */
struct GspanLease *gspan_leases_acquire (struct GspanLeases *leases, const char *name);

/*
 * Gives LEASE up, as soon as it is not busy, or stops trying to get it, until it is wanted again;
 * gspan_lease_held () says no at once.
 */
void gspan_leases_release (struct GspanBoard *board, struct GspanLease *lease,
                           struct GspanOutbox *outbox);

/* True while this process may start work as the holder. */
bool gspan_lease_held (const struct GspanLease *lease, guint64 now);

/*
 * True while the lease has run out only because the platform can't be reached: this process was the
 * last holder that it knows of, and an operation on the lease failed a short while ago. Others may
 * believe otherwise, so this allows only what is harmless when done by two processes at once.
 */
bool gspan_lease_expired_in_outage (const struct GspanLeases *leases,
                                    const struct GspanLease *lease, guint64 now);

/*
 * Somebody has seen FENCE: where that is above this holder's own, the holder takes a higher one
 * with its next write, which is due at once.
 */
void gspan_lease_raise_fencing_token (struct GspanLease *lease, guint64 fence);

/*
 * True where this process is first in line for the lease called NAME: it is one of the few peers of
 * the highest rendezvous hash, or the board knows no peers. The others look seldom and compete only
 * for a lease that the candidates leave lying, since the list of peers lags.
 */
bool gspan_lease_is_candidate (const struct GspanBoard *board, const char *name);

void gspan_leases_handle (struct GspanBoard *board, const struct GspanEvent *event,
                          struct GspanOutbox *outbox);
