#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Leases kept as objects of the platform's store. A process acquires a lease with a conditional
 * write (compare-and-swap on the object's revision), renews it three times per lease duration, and
 * releases it by a write without a holder. Work under a lease carries its fencing token.
 */

enum GspanLeaseState
{
  GSPAN_LEASE_IDLE,     /* no call in flight, and the result of the last write is known */
  GSPAN_LEASE_READING,  /* a read is in flight */
  GSPAN_LEASE_WRITING,  /* a conditional write is in flight */
  GSPAN_LEASE_VERIFYING /* the last write's result is unknown; the object is read to find out */
};

enum GspanLeaseWriteKind
{
  GSPAN_LEASE_ACQUIRE_OR_RENEW,
  GSPAN_LEASE_RELEASE,
  GSPAN_LEASE_RECREATE /* creates a deleted object again; acquirable after the lease duration */
};

/* The last conditional write that was sent. */
struct GspanLeaseWrite
{
  char write_id[80];         /* unique; stored in the object's field "writer" */
  guint64 sent_at_us;        /* first transmission */
  guint64 fencing_token;     /* that the write stores */
  guint64 expected_revision; /* that the write replaces; 0 if there is no object yet */
  enum GspanLeaseWriteKind kind;
  bool previous_holder_released; /* an acquisition after a release, not after an expiry */
};

/*
 * One lease object of the platform, "lease/NAME". Its fencing token rises at each change of the
 * holder and is never used again, also when the object is deleted and created again: the token of a
 * new object is above the store's revision, which no fencing token exceeds. A holder counts the
 * lease duration from before it sent the write and stops a safety margin early, so that its hold
 * ends before another process can acquire the lease. All times are microseconds of the board's
 * clock.
 */
struct GspanLease
{
  guint64 id;
  char *name;
  bool should_hold;         /* acquire and renew the lease; if false, release it */
  bool has_open_work;       /* set by the user of the lease: not to be released yet */
  bool record_was_in_force; /* the record that the lease is named after has been in force here */
  enum GspanLeaseState state;
  bool call_in_flight;           /* a call to the platform; there is at most one per lease */
  guint64 revision;              /* of the object when last read or written; 0 if there was none */
  guint64 revision_seen_at_us;   /* when that revision was first seen; 0 before the first one */
  guint64 available_since_us;    /* since when this process could acquire it; 0 if it can't */
  guint64 fencing_token;         /* of the object when last read or written */
  guint64 highest_fencing_token; /* highest one known, also from other sources than the object */
  guint64 held_until_us;         /* 0 if not held */
  guint64 acquired_at_us;        /* start of the present hold */
  bool previous_holder_released; /* so none of the previous holder's work is open */
  guint64 next_call_at_us;       /* next read or renewal; 0 is at once */
  guint consecutive_failures;
  guint64 last_unreachable_at_us; /* last call that didn't reach the platform; 0 if none */
  bool expired_without_successor; /* expired in this process, and no other holder seen since */
  struct GspanLeaseWrite write;
};

struct GspanLeases
{
  GPtrArray *items; /* struct GspanLease, owned; a lease's id is its index */
  guint64 duration_us;
  guint64 last_write_number; /* counts the writes of this process, for write_id */
};

void gspan_leases_init (struct GspanLeases *leases, guint64 duration_us);
void gspan_leases_finish (struct GspanLeases *leases);

/*
 * The lease called NAME, which lives as long as LEASES. Creates it on first use and acquires and
 * renews it from now on; returns at once, see gspan_lease_held (). A lease named "KIND.RECORD" is
 * released when that record goes out of force and acquired again when it comes back.
 */
struct GspanLease *gspan_leases_acquire (struct GspanLeases *leases, const char *name);

/*
 * Stops acquiring LEASE and releases it, as soon as it has no open work. From now on
 * gspan_lease_held () is false, until gspan_leases_acquire () is called again.
 */
void gspan_leases_release (struct GspanBoard *board, struct GspanLease *lease,
                           struct GspanOutbox *outbox);

/* True while this process is the lease holder and may start work under the lease. */
bool gspan_lease_held (const struct GspanLease *lease, guint64 now);

/*
 * True if the lease expired because the platform is unreachable: this process is the last known
 * holder, and a call for the lease failed less than three lease durations ago. Other processes may
 * conclude the same, so this permits only work that two processes may safely do at once.
 */
bool gspan_lease_expired_in_outage (const struct GspanLeases *leases,
                                    const struct GspanLease *lease, guint64 now);

/*
 * Reports that FENCING_TOKEN was seen elsewhere, for example at a replica. If it is above the
 * lease's own, the holder takes a higher one with a renewal that is due at once.
 */
void gspan_lease_raise_fencing_token (struct GspanLease *lease, guint64 fencing_token);

/*
 * True if this process is one of the candidates for the lease called NAME: the three peers with the
 * highest rendezvous hash, or all processes if the board knows no peers. Since the list of peers
 * lags and may name only processes that are gone, the other processes read the lease too, 30 times
 * less often, and acquire it if none of the candidates does.
 */
bool gspan_lease_is_candidate (const struct GspanBoard *board, const char *name);

void gspan_leases_handle (struct GspanBoard *board, const struct GspanEvent *event,
                          struct GspanOutbox *outbox);
