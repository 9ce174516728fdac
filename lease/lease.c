#include "lease/lease.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "board/board.h"
#include "common/clock.h"

enum
{
  RENEWALS_PER_LIFE = 3,
  MARGIN_DIVISOR = 10, /* the holder stops this part of the life early */
  JITTER_DIVISOR = 8,
  SPREAD_DIVISOR = 20, /* part of the life that each lease already held delays a take-over by */
  SPREAD_MAX_DIVISOR = 2,
  CANDIDATES = 3,
  OUTSIDER_FACTOR = 30, /* times a candidate's pause between reads */
  BACKOFF_DOUBLINGS_MAX = 6,
  FAILURE_LIVES = 3 /* lease lives for which a failed operation counts as recent */
};

#define READ_PERIOD_MAX_US (800 * GSPAN_MS) /* a released lease finds a holder within a second */
#define BACKOFF_MIN_US (100 * GSPAN_MS)
#define DURATION_MAX_US (60 * GSPAN_SECOND)

/* What a read of the object says. */
struct Seen
{
  guint64 version;
  guint64 fence;
  guint64 life;
  bool released;
  bool recreated; /* made anew after a deletion, not taken yet */
  bool own;       /* this very process wrote it as the holder */
  char writer[80];
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
  leases->next_write_number = 0;
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
         && now - lease->last_unreachable_at_us < FAILURE_LIVES * leases->duration_us;
}

void
gspan_lease_raise_fencing_token (struct GspanLease *lease, guint64 fence)
{
  if (fence <= lease->highest_fencing_token || fence >= (guint64)G_MAXINT64)
    return;
  lease->highest_fencing_token = fence;
  lease->next_call_at_us = 0;
}

static guint64
rank_of (const char *peer, const char *name)
{
  return XXH3_64bits_withSeed (peer, strlen (peer), XXH3_64bits (name, strlen (name)));
}

bool
gspan_lease_is_candidate (const struct GspanBoard *board, const char *name)
{
  guint64 own = rank_of (board->self.name, name);
  guint above = 0;

  if (board->peers == NULL || board->peers->len == 0)
    return true;
  for (guint i = 0; i < board->peers->len; i++)
    above += rank_of (g_ptr_array_index (board->peers, i), name) > own;
  return above < CANDIDATES;
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

/* LENGTH less a random part of it, so that processes don't act in step. */
static guint64
jitter (struct GspanBoard *board, guint64 length, guint64 divisor)
{
  return length - (guint64)g_rand_int_range (board->random, 0, (gint32)(length / divisor) + 1);
}

static guint64
renewal_pause (struct GspanBoard *board)
{
  return jitter (board, board->leases.duration_us / RENEWALS_PER_LIFE, JITTER_DIVISOR);
}

/* Processes that are no candidate look seldom: the platform counts their reads, and they are many.
 */
static guint64
read_pause (struct GspanBoard *board, const struct GspanLease *lease)
{
  guint64 base = MIN (board->leases.duration_us / RENEWALS_PER_LIFE, READ_PERIOD_MAX_US);
  guint64 factor = gspan_lease_is_candidate (board, lease->name) ? 1 : OUTSIDER_FACTOR;

  return jitter (board, base * factor, JITTER_DIVISOR);
}

static guint64
backoff_pause (struct GspanBoard *board, struct GspanLease *lease)
{
  guint doublings = MIN (lease->consecutive_failures, (guint)BACKOFF_DOUBLINGS_MAX);

  lease->consecutive_failures++;
  return jitter (board, BACKOFF_MIN_US << doublings, 2);
}

/* When the hold that a write sent at SENT_AT gives is over. */
static guint64
hold_end (const struct GspanBoard *board, guint64 sent_at)
{
  guint64 life = board->leases.duration_us;

  return sent_at + life - life / MARGIN_DIVISOR;
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

/* Sends the write that its token names; sending it again is harmless: it replaces EXPECT only. */
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
start_write (struct GspanBoard *board, struct GspanLease *lease, guint64 fence,
             enum GspanLeaseWriteKind kind, struct GspanOutbox *outbox)
{
  struct GspanLeaseWrite *write = &lease->write;

  g_snprintf (write->write_id, sizeof write->write_id, "%.40s-%08x-%" G_GUINT64_FORMAT,
              board->self.name, board->incarnation, ++board->leases.next_write_number);
  write->sent_at_us = board->now;
  write->fencing_token = fence;
  write->expected_revision = lease->revision;
  write->kind = kind;
  send_write (board, lease, outbox);
}

static void
renew (struct GspanBoard *board, struct GspanLease *lease, struct GspanOutbox *outbox)
{
  bool outbid = lease->highest_fencing_token > lease->fencing_token;

  start_write (board, lease, outbid ? lease->highest_fencing_token + 1 : lease->fencing_token,
               GSPAN_LEASE_ACQUIRE_OR_RENEW, outbox);
}

static void
lose (struct GspanBoard *board, struct GspanLease *lease, const char *why,
      struct GspanOutbox *outbox)
{
  if (lease->held_until_us == 0)
    return;
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_LEASES_LOST, 1);
  log_lease (outbox, "lease-lost", lease, why);
  lease->held_until_us = 0;
}

static void
note_version (struct GspanBoard *board, struct GspanLease *lease, guint64 version, guint64 fence)
{
  if (version != lease->revision || lease->revision_seen_at_us == 0)
    {
      lease->revision_seen_at_us = board->now;
      lease->available_since_us = 0;
      lease->expired_without_successor = false;
    }
  lease->revision = version;
  lease->fencing_token = fence;
  lease->highest_fencing_token = MAX (lease->highest_fencing_token, fence);
}

/* The write under way is in the object as VERSION. */
static void
on_written (struct GspanBoard *board, struct GspanLease *lease, guint64 version,
            struct GspanOutbox *outbox)
{
  const struct GspanLeaseWrite *write = &lease->write;
  bool renewed = lease->held_until_us != 0;

  lease->state = GSPAN_LEASE_IDLE;
  lease->consecutive_failures = 0;
  note_version (board, lease, version, write->fencing_token);
  lease->next_call_at_us = write->sent_at_us + renewal_pause (board);
  if (write->kind != GSPAN_LEASE_ACQUIRE_OR_RENEW)
    {
      lease->held_until_us = 0;
      log_lease (outbox, write->kind == GSPAN_LEASE_RELEASE ? "lease-released" : "lease-recreated",
                 lease, "");
      return;
    }
  if (board->now >= hold_end (board, write->sent_at_us))
    {
      lose (board, lease, "its renewal came too late", outbox);
      lease->expired_without_successor = true;
      return;
    }
  lease->held_until_us = hold_end (board, write->sent_at_us);
  lease->expired_without_successor = false;
  if (renewed)
    return;
  lease->acquired_at_us = board->now;
  lease->previous_holder_released = write->previous_holder_released;
  gspan_metrics_add (&board->metrics, GSPAN_METRIC_LEASES_TAKEN, 1);
  log_lease (outbox, "lease-taken", lease, write->previous_holder_released ? "free" : "run out");
}

/* The more leases a process holds, the later it competes for another. */
static guint64
spread_delay (const struct GspanBoard *board)
{
  guint64 life = board->leases.duration_us;
  guint64 held = 0;

  for (guint i = 0; i < board->leases.items->len; i++)
    {
      const struct GspanLease *lease = g_ptr_array_index (board->leases.items, i);
      bool taking = lease->state == GSPAN_LEASE_WRITING || lease->state == GSPAN_LEASE_VERIFYING;

      held += lease->held_until_us > board->now || taking;
    }
  return MIN (held * (life / SPREAD_DIVISOR), life / SPREAD_MAX_DIVISOR);
}

/* Takes a lease that is nobody's, CLEAN where its last holder released it. */
static void
compete (struct GspanBoard *board, struct GspanLease *lease, bool clean, guint64 floor,
         struct GspanOutbox *outbox)
{
  guint64 delay = spread_delay (board);

  if (!lease->should_hold)
    return;
  if (lease->available_since_us == 0)
    lease->available_since_us = board->now;
  if (board->now - lease->available_since_us < delay)
    {
      lease->next_call_at_us = MIN (lease->next_call_at_us, lease->available_since_us + delay);
      return;
    }
  lease->write.previous_holder_released = clean;
  start_write (board, lease, MAX (lease->highest_fencing_token, floor) + 1,
               GSPAN_LEASE_ACQUIRE_OR_RENEW, outbox);
}

static bool
is_own_writer (const struct GspanBoard *board, const char *writer)
{
  char prefix[64];

  g_snprintf (prefix, sizeof prefix, "%.40s-%08x-", board->self.name, board->incarnation);
  return g_str_has_prefix (writer, prefix);
}

/* An object that is no lease counts as held by somebody unknown for a whole life. */
static struct Seen
parse_object (const struct GspanBoard *board, const struct GspanEventObject *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);
  json_t *value = json_loadb (text.data != NULL ? text.data : "", text.len, 0, NULL);
  json_t *holder = json_object_get (value, "holder");
  json_int_t life_ms = json_integer_value (json_object_get (value, "duration_ms"));
  json_int_t fence = json_integer_value (json_object_get (value, "fence"));
  const char *writer = json_string_value (json_object_get (value, "writer"));
  struct Seen seen = { 0 };

  seen.version = answer->revision;
  seen.fence = (guint64)MAX (fence, 0);
  seen.life = CLAMP ((guint64)MAX (life_ms, 0), board->leases.duration_us / GSPAN_MS,
                     DURATION_MAX_US / GSPAN_MS)
              * GSPAN_MS;
  seen.released = json_is_string (holder) && json_string_length (holder) == 0
                  && !json_is_false (json_object_get (value, "released"));
  g_strlcpy (seen.writer, writer != NULL ? writer : "", sizeof seen.writer);
  seen.recreated = json_is_string (holder) && json_string_length (holder) == 0 && !seen.released;
  seen.own = json_string_length (holder) > 0 && is_own_writer (board, seen.writer);
  json_decref (value);
  return seen;
}

/*
 * Takes the object over where its holder gave it up, let a whole life pass without a renewal, or
 * is this very process, which can't have been replaced while the version stands.
 */
static void
consider_takeover (struct GspanBoard *board, struct GspanLease *lease, const struct Seen *seen,
                   struct GspanOutbox *outbox)
{
  guint64 age = board->now - lease->revision_seen_at_us;
  bool expired = age > seen->life + seen->life / MARGIN_DIVISOR;
  bool own = seen->own && lease->held_until_us == 0;

  if (seen->released || expired || own)
    compete (board, lease, seen->released, seen->recreated ? seen->version : 0, outbox);
}

/* True where the read has settled what became of the last write, or that is to be sent again. */
static bool
settle (struct GspanBoard *board, struct GspanLease *lease, const struct Seen *seen,
        struct GspanOutbox *outbox)
{
  if (lease->state != GSPAN_LEASE_VERIFYING)
    return false;
  if (seen->version != 0 && strcmp (seen->writer, lease->write.write_id) == 0)
    {
      on_written (board, lease, seen->version, outbox);
      return true;
    }
  if (seen->version != lease->write.expected_revision
      || board->now >= hold_end (board, lease->write.sent_at_us))
    return false;
  send_write (board, lease, outbox);
  return true;
}

static void
on_object (struct GspanBoard *board, struct GspanLease *lease, const struct Seen *seen,
           struct GspanOutbox *outbox)
{
  if (settle (board, lease, seen, outbox))
    return;
  lease->state = GSPAN_LEASE_IDLE;
  if (seen->version != lease->revision)
    lose (board, lease, "taken over", outbox);
  note_version (board, lease, seen->version, seen->fence);
  lease->next_call_at_us = board->now + read_pause (board, lease);
  consider_takeover (board, lease, seen, outbox);
}

/*
 * A holder of the deleted object may still believe in it, so who has known one makes a new one
 * that can be taken only after a whole life.
 */
static void
on_missing (struct GspanBoard *board, struct GspanLease *lease, guint64 store_revision,
            struct GspanOutbox *outbox)
{
  bool known = lease->revision_seen_at_us != 0;
  struct Seen nothing = { 0 };

  if (settle (board, lease, &nothing, outbox))
    return;
  lease->state = GSPAN_LEASE_IDLE;
  lease->next_call_at_us = board->now + read_pause (board, lease);
  lose (board, lease, "the object is gone", outbox);
  lease->expired_without_successor = false;
  lease->revision = 0;
  if (!known)
    compete (board, lease, true, store_revision, outbox);
  else if (lease->should_hold)
    start_write (board, lease, MAX (lease->highest_fencing_token, store_revision) + 1,
                 GSPAN_LEASE_RECREATE, outbox);
}

static void
note_failure (const struct GspanBoard *board, struct GspanLease *lease,
              enum GspanObjectResult result)
{
  if (result == GSPAN_OBJECT_UNAVAILABLE || result == GSPAN_OBJECT_UNKNOWN)
    lease->last_unreachable_at_us = board->now;
}

static void
on_read (struct GspanBoard *board, struct GspanLease *lease, const struct GspanEventObject *answer,
         struct GspanOutbox *outbox)
{
  struct Seen seen;

  note_failure (board, lease, answer->result);
  if (answer->result != GSPAN_OBJECT_MISSING && answer->result != GSPAN_OBJECT_OK)
    {
      if (lease->state == GSPAN_LEASE_READING)
        lease->state = GSPAN_LEASE_IDLE;
      lease->next_call_at_us = board->now + backoff_pause (board, lease);
      return;
    }
  lease->consecutive_failures = 0;
  if (answer->result == GSPAN_OBJECT_MISSING)
    {
      on_missing (board, lease, answer->revision, outbox);
      return;
    }
  seen = parse_object (board, answer);
  on_object (board, lease, &seen, outbox);
}

static void
on_write_answer (struct GspanBoard *board, struct GspanLease *lease,
                 const struct GspanEventObject *answer, struct GspanOutbox *outbox)
{
  note_failure (board, lease, answer->result);
  switch (answer->result)
    {
    case GSPAN_OBJECT_OK:
      on_written (board, lease, answer->revision, outbox);
      break;
    case GSPAN_OBJECT_UNKNOWN:
    case GSPAN_OBJECT_CONFLICT:
      /* A conflict too may be with an earlier sending of this very write. */
      send_read (lease, GSPAN_LEASE_VERIFYING, outbox);
      break;
    case GSPAN_OBJECT_MISSING:
    case GSPAN_OBJECT_GAP:
    case GSPAN_OBJECT_UNAVAILABLE:
      lease->state = GSPAN_LEASE_VERIFYING;
      lease->next_call_at_us = board->now + backoff_pause (board, lease);
      break;
    }
}

/* Wants the lease exactly while the record that its name tells is in force. */
static void
follow_record (struct GspanBoard *board, struct GspanLease *lease)
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

/* True where the release has been sent. */
static bool
give_up (struct GspanBoard *board, struct GspanLease *lease, struct GspanOutbox *outbox)
{
  if (lease->state != GSPAN_LEASE_IDLE || lease->held_until_us == 0 || lease->has_open_work)
    return false;
  start_write (board, lease, lease->fencing_token, GSPAN_LEASE_RELEASE, outbox);
  return true;
}

static void
on_tick (struct GspanBoard *board, struct GspanLease *lease, struct GspanOutbox *outbox)
{
  follow_record (board, lease);
  lease->should_hold &= !board->draining;
  if (lease->held_until_us != 0 && board->now >= lease->held_until_us)
    {
      lose (board, lease, "not renewed in time", outbox);
      lease->expired_without_successor = true;
    }
  if (!lease->should_hold && give_up (board, lease, outbox))
    return;
  if (lease->call_in_flight || board->now < lease->next_call_at_us)
    return;
  if (lease->state == GSPAN_LEASE_VERIFYING)
    {
      lease->next_call_at_us = board->now + backoff_pause (board, lease);
      send_read (lease, GSPAN_LEASE_VERIFYING, outbox);
    }
  else if (lease->state == GSPAN_LEASE_IDLE && lease->held_until_us != 0)
    renew (board, lease, outbox);
  else if (lease->state == GSPAN_LEASE_IDLE && lease->should_hold && lease->next_call_at_us == 0
           && !gspan_lease_is_candidate (board, lease->name))
    lease->next_call_at_us = board->now + read_pause (board, lease);
  else if (lease->state == GSPAN_LEASE_IDLE && lease->should_hold)
    send_read (lease, GSPAN_LEASE_READING, outbox);
}

void
gspan_leases_release (struct GspanBoard *board, struct GspanLease *lease,
                      struct GspanOutbox *outbox)
{
  lease->should_hold = false;
  lease->expired_without_successor = false;
  give_up (board, lease, outbox);
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
        on_write_answer (board, lease, &event->u.object, outbox);
      else
        on_read (board, lease, &event->u.object, outbox);
      return;
    }
  if (event->kind != GSPAN_EVENT_TICK && event->kind != GSPAN_EVENT_DRAIN)
    return;
  for (guint i = 0; i < leases->items->len; i++)
    on_tick (board, g_ptr_array_index (leases->items, i), outbox);
}
