#include "lease/lease.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "board/board.h"
#include "common/clock.h"

enum
{
  RENEWALS_PER_DURATION = 3,
  SAFETY_MARGIN_DIVISOR = 10, /* the holder stops duration / 10 early, others wait as much longer */
  JITTER_DIVISOR = 8,
  ACQUIRE_DELAY_DIVISOR = 20, /* each lease already held delays an acquisition by duration / 20 */
  ACQUIRE_DELAY_MAX_DIVISOR = 2,
  CANDIDATE_COUNT = 3,
  NON_CANDIDATE_READ_FACTOR = 30, /* multiple of a candidate's read interval */
  BACKOFF_DOUBLINGS_MAX = 6,
  RECENT_FAILURE_DURATIONS = 3 /* lease durations for which a failed call counts as recent */
};

#define READ_INTERVAL_MAX_US (800 * GSPAN_MS) /* a released lease is acquired within a second */
#define BACKOFF_MIN_US (100 * GSPAN_MS)
#define DURATION_MAX_US (60 * GSPAN_SECOND)

/* The lease object as read from the platform. */
struct LeaseObject
{
  guint64 revision;
  guint64 fencing_token;
  guint64 duration_us;
  bool released;
  bool recreated;               /* created again after a deletion, not acquired since */
  bool written_by_this_process; /* its holder is this run of this process */
  char write_id[80];
};

static void
lease_free (gpointer data)
{
  struct GspanLease *lease = data;

  g_free (lease->name);
  g_free (lease);
}

void
gspan_leases_init (struct GspanLeases *leases, guint64 duration_us)
{
  leases->items = g_ptr_array_new_with_free_func (lease_free);
  leases->duration_us = duration_us;
  leases->last_write_number = 0;
}

void
gspan_leases_finish (struct GspanLeases *leases)
{
  g_ptr_array_unref (leases->items);
}

struct GspanLease *
gspan_leases_acquire (struct GspanLeases *leases, const char *name)
{
  struct GspanLease *lease;

  for (guint i = 0; i < leases->items->len; i++)
    {
      lease = g_ptr_array_index (leases->items, i);
      if (strcmp (lease->name, name) != 0)
        continue;
      lease->should_hold = true;
      return lease;
    }
  lease = g_new0 (struct GspanLease, 1);
  lease->id = leases->items->len;
  lease->name = g_strdup (name);
  lease->should_hold = true;
  g_ptr_array_add (leases->items, lease);
  return lease;
}

bool
gspan_lease_held (const struct GspanLease *lease, guint64 now)
{
  return lease->should_hold && now < lease->held_until_us;
}

bool
gspan_lease_expired_in_outage (const struct GspanLeases *leases, const struct GspanLease *lease,
                               guint64 now)
{
  return lease->expired_without_successor && lease->should_hold
         && lease->last_unreachable_at_us != 0
         && now - lease->last_unreachable_at_us < RECENT_FAILURE_DURATIONS * leases->duration_us;
}

void
gspan_lease_raise_fencing_token (struct GspanLease *lease, guint64 fencing_token)
{
  if (fencing_token <= lease->highest_fencing_token || fencing_token >= (guint64)G_MAXINT64)
    return;
  lease->highest_fencing_token = fencing_token;
  lease->next_call_at_us = 0;
}

static guint64
rendezvous_hash (const char *peer, const char *name)
{
  return XXH3_64bits_withSeed (peer, strlen (peer), XXH3_64bits (name, strlen (name)));
}

bool
gspan_lease_is_candidate (const struct GspanBoard *board, const char *name)
{
  guint64 own_hash = rendezvous_hash (board->self.name, name);
  guint higher_ranked = 0;

  if (board->peers == NULL || board->peers->len == 0)
    return true;
  for (guint i = 0; i < board->peers->len; i++)
    higher_ranked += rendezvous_hash (g_ptr_array_index (board->peers, i), name) > own_hash;
  return higher_ranked < CANDIDATE_COUNT;
}

static void
log_lease (struct GspanOutbox *outbox, const char *event, const struct GspanLease *lease,
           const char *why)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "lease", lease->name);
  gspan_line_u64 (&line, "fence", lease->fencing_token);
  gspan_line_u64 (&line, "version", lease->revision);
  gspan_line_cstr (&line, "why", why);
  gspan_outbox_log (outbox, "lease", GSPAN_PRIORITY_NOTICE, &line);
}

/*
 * LENGTH shortened by a random part of at most 1/DIVISOR, so that processes don't act in lockstep.
 */
static guint64
jitter (struct GspanBoard *board, guint64 length, guint64 divisor)
{
  return length - (guint64)g_rand_int_range (board->random, 0, (gint32)(length / divisor) + 1);
}

static guint64
renewal_interval_us (struct GspanBoard *board)
{
  return jitter (board, board->leases.duration_us / RENEWALS_PER_DURATION, JITTER_DIVISOR);
}

/*
 * Processes that aren't candidates for the lease read it rarely: there are many of them, and the
 * platform limits reads.
 */
static guint64
read_interval_us (struct GspanBoard *board, const struct GspanLease *lease)
{
  guint64 base = MIN (board->leases.duration_us / RENEWALS_PER_DURATION, READ_INTERVAL_MAX_US);
  guint64 factor = gspan_lease_is_candidate (board, lease->name) ? 1 : NON_CANDIDATE_READ_FACTOR;

  return jitter (board, base * factor, JITTER_DIVISOR);
}

static guint64
next_backoff_us (struct GspanBoard *board, struct GspanLease *lease)
{
  guint doublings = MIN (lease->consecutive_failures, (guint)BACKOFF_DOUBLINGS_MAX);

  lease->consecutive_failures++;
  return jitter (board, BACKOFF_MIN_US << doublings, 2);
}

/*
 * Time until which a write sent at SENT_AT_US gives the lease to this process, safety margin
 * deducted.
 */
static guint64
hold_end_us (const struct GspanBoard *board, guint64 sent_at_us)
{
  guint64 duration_us = board->leases.duration_us;

  return sent_at_us + duration_us - duration_us / SAFETY_MARGIN_DIVISOR;
}

static void
send_read (struct GspanLease *lease, enum GspanLeaseState state, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_LEASES, lease->id };
  char *path = g_strdup_printf ("lease/%s", lease->name);

  lease->state = state;
  lease->call_in_flight = true;
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_GET, path, 0, NULL);
  g_free (path);
}

/* Sends LEASE's last write. Resending is idempotent: it replaces only the expected revision. */
static void
send_write (struct GspanBoard *board, struct GspanLease *lease, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_LEASES, lease->id };
  const struct GspanLeaseWrite *write = &lease->write;
  char *path = g_strdup_printf ("lease/%s", lease->name);
  json_t *value = json_pack (
      "{s:s, s:s, s:b, s:I, s:I, s:s}", "holder",
      write->kind == GSPAN_LEASE_ACQUIRE_OR_RENEW ? board->self.rpc : "", "node", board->self.name,
      "released", write->kind == GSPAN_LEASE_RELEASE, "fence", (json_int_t)write->fencing_token,
      "duration_ms", (json_int_t)(board->leases.duration_us / GSPAN_MS), "writer", write->write_id);
  char *text = json_dumps (value, JSON_COMPACT);

  lease->state = GSPAN_LEASE_WRITING;
  lease->call_in_flight = true;
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_PUT, path, write->expected_revision,
                       g_bytes_new (text, strlen (text)));
  free (text);
  json_decref (value);
  g_free (path);
}

static void
start_write (struct GspanBoard *board, struct GspanLease *lease, guint64 fencing_token,
             enum GspanLeaseWriteKind kind, struct GspanOutbox *outbox)
{
  struct GspanLeaseWrite *write = &lease->write;

  g_snprintf (write->write_id, sizeof write->write_id, "%.40s-%08x-%" G_GUINT64_FORMAT,
              board->self.name, board->incarnation, ++board->leases.last_write_number);
  write->sent_at_us = board->now;
  write->fencing_token = fencing_token;
  write->expected_revision = lease->revision;
  write->kind = kind;
  send_write (board, lease, outbox);
}

static void
renew (struct GspanBoard *board, struct GspanLease *lease, struct GspanOutbox *outbox)
{
  bool must_raise_token = lease->highest_fencing_token > lease->fencing_token;

  start_write (board, lease,
               must_raise_token ? lease->highest_fencing_token + 1 : lease->fencing_token,
               GSPAN_LEASE_ACQUIRE_OR_RENEW, outbox);
}

static void
mark_lost (struct GspanBoard *board, struct GspanLease *lease, const char *why,
           struct GspanOutbox *outbox)
{
  if (lease->held_until_us == 0)
    return;
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_LEASES_LOST, 1);
  log_lease (outbox, "lease-lost", lease, why);
  lease->held_until_us = 0;
}

static void
note_revision (struct GspanBoard *board, struct GspanLease *lease, guint64 revision,
               guint64 fencing_token)
{
  if (revision != lease->revision || lease->revision_seen_at_us == 0)
    {
      lease->revision_seen_at_us = board->now;
      lease->available_since_us = 0;
      lease->expired_without_successor = false;
    }
  lease->revision = revision;
  lease->fencing_token = fencing_token;
  lease->highest_fencing_token = MAX (lease->highest_fencing_token, fencing_token);
}

/* Handles that the object now holds LEASE's last write, at REVISION. */
static void
on_write_applied (struct GspanBoard *board, struct GspanLease *lease, guint64 revision,
                  struct GspanOutbox *outbox)
{
  const struct GspanLeaseWrite *write = &lease->write;
  bool renewed = lease->held_until_us != 0;

  lease->state = GSPAN_LEASE_IDLE;
  lease->consecutive_failures = 0;
  note_revision (board, lease, revision, write->fencing_token);
  lease->next_call_at_us = write->sent_at_us + renewal_interval_us (board);
  if (write->kind != GSPAN_LEASE_ACQUIRE_OR_RENEW)
    {
      lease->held_until_us = 0;
      log_lease (outbox, write->kind == GSPAN_LEASE_RELEASE ? "lease-released" : "lease-recreated",
                 lease, "");
      return;
    }
  if (board->now >= hold_end_us (board, write->sent_at_us))
    {
      mark_lost (board, lease, "the reply to the renewal arrived after the hold had expired",
                 outbox);
      lease->expired_without_successor = true;
      return;
    }
  lease->held_until_us = hold_end_us (board, write->sent_at_us);
  lease->expired_without_successor = false;
  if (renewed)
    return;
  lease->acquired_at_us = board->now;
  lease->previous_holder_released = write->previous_holder_released;
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_LEASES_TAKEN, 1);
  log_lease (outbox, "lease-taken", lease, write->previous_holder_released ? "free" : "expired");
}

/* Delays an acquisition by the number of leases already held, to spread leases over processes. */
static guint64
acquire_delay_us (const struct GspanBoard *board)
{
  guint64 duration_us = board->leases.duration_us;
  guint64 held = 0;

  for (guint i = 0; i < board->leases.items->len; i++)
    {
      const struct GspanLease *lease = g_ptr_array_index (board->leases.items, i);
      bool acquiring = lease->state == GSPAN_LEASE_WRITING || lease->state == GSPAN_LEASE_VERIFYING;

      held += lease->held_until_us > board->now || acquiring;
    }
  return MIN (held * (duration_us / ACQUIRE_DELAY_DIVISOR),
              duration_us / ACQUIRE_DELAY_MAX_DIVISOR);
}

/*
 * Starts to acquire a lease that nobody holds, once it has been available for this process's delay.
 * The new fencing token is above TOKEN_FLOOR.
 */
static void
try_acquire (struct GspanBoard *board, struct GspanLease *lease, bool previous_holder_released,
             guint64 token_floor, struct GspanOutbox *outbox)
{
  guint64 delay_us = acquire_delay_us (board);

  if (!lease->should_hold)
    return;
  if (lease->available_since_us == 0)
    lease->available_since_us = board->now;
  if (board->now - lease->available_since_us < delay_us)
    {
      lease->next_call_at_us = MIN (lease->next_call_at_us, lease->available_since_us + delay_us);
      return;
    }
  lease->write.previous_holder_released = previous_holder_released;
  start_write (board, lease, MAX (lease->highest_fencing_token, token_floor) + 1,
               GSPAN_LEASE_ACQUIRE_OR_RENEW, outbox);
}

static bool
is_own_write_id (const struct GspanBoard *board, const char *write_id)
{
  char prefix[64];

  g_snprintf (prefix, sizeof prefix, "%.40s-%08x-", board->self.name, board->incarnation);
  return g_str_has_prefix (write_id, prefix);
}

/* An object that can't be parsed counts as held by an unknown process for the lease duration. */
static struct LeaseObject
parse_object (const struct GspanBoard *board, const struct GspanEventObject *reply)
{
  struct GspanStr text = gspan_str_from_bytes (reply->body);
  json_t *value = json_loadb (text.data != NULL ? text.data : "", text.len, 0, NULL);
  json_t *holder = json_object_get (value, "holder");
  json_int_t duration_ms = json_integer_value (json_object_get (value, "duration_ms"));
  json_int_t fencing_token = json_integer_value (json_object_get (value, "fence"));
  const char *write_id = json_string_value (json_object_get (value, "writer"));
  struct LeaseObject object = { 0 };

  object.revision = reply->revision;
  object.fencing_token = (guint64)MAX (fencing_token, 0);
  object.duration_us = CLAMP ((guint64)MAX (duration_ms, 0), board->leases.duration_us / GSPAN_MS,
                              DURATION_MAX_US / GSPAN_MS)
                       * GSPAN_MS;
  object.released = json_is_string (holder) && json_string_length (holder) == 0
                    && !json_is_false (json_object_get (value, "released"));
  g_strlcpy (object.write_id, write_id != NULL ? write_id : "", sizeof object.write_id);
  object.recreated
      = json_is_string (holder) && json_string_length (holder) == 0 && !object.released;
  object.written_by_this_process
      = json_string_length (holder) > 0 && is_own_write_id (board, object.write_id);
  json_decref (value);
  return object;
}

/*
 * Acquires the lease if its holder released it, has not renewed it for its duration and the safety
 * margin, or is this process itself after its hold expired: as long as the object's revision is
 * unchanged, nobody else has taken it over.
 */
static void
consider_takeover (struct GspanBoard *board, struct GspanLease *lease,
                   const struct LeaseObject *object, struct GspanOutbox *outbox)
{
  guint64 unchanged_us = board->now - lease->revision_seen_at_us;
  bool expired = unchanged_us > object->duration_us + object->duration_us / SAFETY_MARGIN_DIVISOR;
  bool own_expired_hold = object->written_by_this_process && lease->held_until_us == 0;

  if (object->released || expired || own_expired_hold)
    try_acquire (board, lease, object->released, object->recreated ? object->revision : 0, outbox);
}

/*
 * After a write with an unknown result: finds out from OBJECT whether it was applied, and sends it
 * again if it was not and can still be. True if either is so; otherwise the write has failed.
 */
static bool
verify_last_write (struct GspanBoard *board, struct GspanLease *lease,
                   const struct LeaseObject *object, struct GspanOutbox *outbox)
{
  if (lease->state != GSPAN_LEASE_VERIFYING)
    return false;
  if (object->revision != 0 && strcmp (object->write_id, lease->write.write_id) == 0)
    {
      on_write_applied (board, lease, object->revision, outbox);
      return true;
    }
  if (object->revision != lease->write.expected_revision
      || board->now >= hold_end_us (board, lease->write.sent_at_us))
    return false;
  send_write (board, lease, outbox);
  return true;
}

static void
on_object_read (struct GspanBoard *board, struct GspanLease *lease,
                const struct LeaseObject *object, struct GspanOutbox *outbox)
{
  if (verify_last_write (board, lease, object, outbox))
    return;
  lease->state = GSPAN_LEASE_IDLE;
  if (object->revision != lease->revision)
    mark_lost (board, lease, "another process took it over", outbox);
  note_revision (board, lease, object->revision, object->fencing_token);
  lease->next_call_at_us = board->now + read_interval_us (board, lease);
  consider_takeover (board, lease, object, outbox);
}

/*
 * A holder of the deleted object may still act on it. A process that has seen that object creates a
 * new one without a holder, which can be acquired only after the lease duration.
 */
static void
on_object_missing (struct GspanBoard *board, struct GspanLease *lease, guint64 store_revision,
                   struct GspanOutbox *outbox)
{
  bool existed_before = lease->revision_seen_at_us != 0;
  struct LeaseObject absent = { 0 };

  if (verify_last_write (board, lease, &absent, outbox))
    return;
  lease->state = GSPAN_LEASE_IDLE;
  lease->next_call_at_us = board->now + read_interval_us (board, lease);
  mark_lost (board, lease, "the lease object was deleted", outbox);
  lease->expired_without_successor = false;
  lease->revision = 0;
  if (!existed_before)
    try_acquire (board, lease, true, store_revision, outbox);
  else if (lease->should_hold)
    start_write (board, lease, MAX (lease->highest_fencing_token, store_revision) + 1,
                 GSPAN_LEASE_RECREATE, outbox);
}

static void
note_unreachable (const struct GspanBoard *board, struct GspanLease *lease,
                  enum GspanObjectResult result)
{
  if (result == GSPAN_OBJECT_UNAVAILABLE || result == GSPAN_OBJECT_UNKNOWN)
    lease->last_unreachable_at_us = board->now;
}

static void
on_read_reply (struct GspanBoard *board, struct GspanLease *lease,
               const struct GspanEventObject *reply, struct GspanOutbox *outbox)
{
  struct LeaseObject object;

  note_unreachable (board, lease, reply->result);
  if (reply->result != GSPAN_OBJECT_MISSING && reply->result != GSPAN_OBJECT_OK)
    {
      if (lease->state == GSPAN_LEASE_READING)
        lease->state = GSPAN_LEASE_IDLE;
      lease->next_call_at_us = board->now + next_backoff_us (board, lease);
      return;
    }
  lease->consecutive_failures = 0;
  if (reply->result == GSPAN_OBJECT_MISSING)
    {
      on_object_missing (board, lease, reply->revision, outbox);
      return;
    }
  object = parse_object (board, reply);
  on_object_read (board, lease, &object, outbox);
}

static void
on_write_reply (struct GspanBoard *board, struct GspanLease *lease,
                const struct GspanEventObject *reply, struct GspanOutbox *outbox)
{
  note_unreachable (board, lease, reply->result);
  switch (reply->result)
    {
    case GSPAN_OBJECT_OK:
      on_write_applied (board, lease, reply->revision, outbox);
      break;
    case GSPAN_OBJECT_UNKNOWN:
    case GSPAN_OBJECT_CONFLICT:
      /* A conflict may also be with an earlier transmission of the same write. */
      send_read (lease, GSPAN_LEASE_VERIFYING, outbox);
      break;
    case GSPAN_OBJECT_MISSING:
    case GSPAN_OBJECT_GAP:
    case GSPAN_OBJECT_UNAVAILABLE:
      lease->state = GSPAN_LEASE_VERIFYING;
      lease->next_call_at_us = board->now + next_backoff_us (board, lease);
      break;
    }
}

/* Sets should_hold of a lease called KIND.RECORD by whether that record is in force. */
static void
follow_record_state (struct GspanBoard *board, struct GspanLease *lease)
{
  const char *dot = strchr (lease->name, '.');
  enum GspanRecordKind kind;
  bool in_force;

  if (dot == NULL
      || !gspan_record_kind_parse ((struct GspanStr){ lease->name, (size_t)(dot - lease->name) },
                                   &kind))
    return;
  in_force = gspan_records_find (&board->records, kind, dot + 1) != NULL;
  if (in_force || lease->record_was_in_force)
    lease->should_hold = in_force;
  lease->record_was_in_force |= in_force;
}

/* True if the write that releases the lease was sent. */
static bool
start_release_if_possible (struct GspanBoard *board, struct GspanLease *lease,
                           struct GspanOutbox *outbox)
{
  if (lease->state != GSPAN_LEASE_IDLE || lease->held_until_us == 0 || lease->has_open_work)
    return false;
  start_write (board, lease, lease->fencing_token, GSPAN_LEASE_RELEASE, outbox);
  return true;
}

static void
on_tick (struct GspanBoard *board, struct GspanLease *lease, struct GspanOutbox *outbox)
{
  follow_record_state (board, lease);
  lease->should_hold &= !board->draining;
  if (lease->held_until_us != 0 && board->now >= lease->held_until_us)
    {
      mark_lost (board, lease, "not renewed in time", outbox);
      lease->expired_without_successor = true;
    }
  if (!lease->should_hold && start_release_if_possible (board, lease, outbox))
    return;
  if (lease->call_in_flight || board->now < lease->next_call_at_us)
    return;
  if (lease->state == GSPAN_LEASE_VERIFYING)
    {
      lease->next_call_at_us = board->now + next_backoff_us (board, lease);
      send_read (lease, GSPAN_LEASE_VERIFYING, outbox);
    }
  else if (lease->state == GSPAN_LEASE_IDLE && lease->held_until_us != 0)
    renew (board, lease, outbox);
  else if (lease->state == GSPAN_LEASE_IDLE && lease->should_hold && lease->next_call_at_us == 0
           && !gspan_lease_is_candidate (board, lease->name))
    lease->next_call_at_us = board->now + read_interval_us (board, lease); /* also the first read */
  else if (lease->state == GSPAN_LEASE_IDLE && lease->should_hold)
    send_read (lease, GSPAN_LEASE_READING, outbox);
}

void
gspan_leases_release (struct GspanBoard *board, struct GspanLease *lease,
                      struct GspanOutbox *outbox)
{
  lease->should_hold = false;
  lease->expired_without_successor = false;
  start_release_if_possible (board, lease, outbox);
}

void
gspan_leases_handle (struct GspanBoard *board, const struct GspanEvent *event,
                     struct GspanOutbox *outbox)
{
  struct GspanLeases *leases = &board->leases;

  if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    {
      struct GspanLease *lease = g_ptr_array_index (leases->items, event->ref.id);

      lease->call_in_flight = false;
      if (lease->state == GSPAN_LEASE_WRITING)
        on_write_reply (board, lease, &event->u.object, outbox);
      else
        on_read_reply (board, lease, &event->u.object, outbox);
      return;
    }
  if (event->kind != GSPAN_EVENT_TICK && event->kind != GSPAN_EVENT_DRAIN)
    return;
  for (guint i = 0; i < leases->items->len; i++)
    on_tick (board, g_ptr_array_index (leases->items, i), outbox);
}
