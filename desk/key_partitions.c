#include "desk/key_partitions.h"

#include <string.h>
#include <xxhash.h>

#include "board/board.h"
#include "common/clock.h"
#include "desk/desk.h"
#include "desk/keyed_calls.h"
#include "rpc/codec.h"

#define WRITE_PERIOD_US (200 * GSPAN_MS)
#define STALL_PAUSE_US (500 * GSPAN_MS)

enum
{
  STATUS_KEY_REUSED = 422,
  TOKEN_MAX = 96
};

enum SlotState
{
  SLOT_UNREAD,  /* the journal is to be read */
  SLOT_READING, /* it is being read */
  SLOT_QUIET,   /* it is known, and no write is under way */
  SLOT_WRITING, /* a conditional write is under way */
  SLOT_SETTLING /* that write's answer was lost, a read back is under way */
};

struct Slot
{
  guint index;
  struct GspanLease *lease; /* NULL where never wanted */
  enum SlotState state;
  guint64 fence; /* of the lease under which the journal was read */
  bool claimed;  /* a write of this process has landed since then */
  bool stalled;  /* the platform doesn't answer: new calls are refused */
  guint64 retry_at;
  struct GspanJournal journal;
  guint64 version; /* of the object that the journal stands for */
  char token[TOKEN_MAX];
  GBytes *written; /* what the write under way holds; may be NULL */
  bool dirty;      /* the journal holds what the object doesn't */
  guint64 next_write_at;
};

enum RunPhase
{
  RUN_WAITING,   /* its intent is in no write yet */
  RUN_WRITING,   /* its intent is in the write under way */
  RUN_DISPATCHED /* its intent has landed, the desk runs it */
};

struct Run
{
  guint64 id;
  guint slot;
  char *key;
  guint64 fingerprint;
  enum RunPhase phase;
  char *request_id;
  char *caller_id; /* as in a GspanDeskCallSpec */
  char *route;
  char *method;
  char *path;
  char *content_type;
  GBytes *body;
  guint64 deadline;
  GArray *waiters; /* struct GspanKeyedWaiter */
};

static void
run_free (gpointer data)
{
  struct Run *run = data;

  g_free (run->key);
  g_free (run->request_id);
  g_free (run->caller_id);
  g_free (run->route);
  g_free (run->method);
  g_free (run->path);
  g_free (run->content_type);
  g_bytes_unref (run->body);
  g_array_unref (run->waiters);
  g_free (run);
}

static void
slot_free (gpointer data)
{
  struct Slot *slot = data;

  gspan_journal_finish (&slot->journal);
  g_clear_pointer (&slot->written, g_bytes_unref);
  g_free (slot);
}

void
gspan_key_partitions_init (struct GspanKeyPartitions *slots)
{
  slots->slots = g_ptr_array_new_with_free_func (slot_free);
  slots->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, run_free);
  slots->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < GSPAN_KEY_PARTITION_COUNT; i++)
    {
      struct Slot *slot = g_new0 (struct Slot, 1);

      slot->index = i;
      gspan_journal_init (&slot->journal);
      g_ptr_array_add (slots->slots, slot);
    }
}

void
gspan_key_partitions_finish (struct GspanKeyPartitions *slots)
{
  g_hash_table_unref (slots->by_key);
  g_hash_table_unref (slots->runs);
  g_ptr_array_unref (slots->slots);
}

bool
gspan_key_partitions_is_busy (const struct GspanKeyPartitions *slots)
{
  return g_hash_table_size (slots->runs) > 0;
}

guint
gspan_key_partition_of (const char *key)
{
  return (guint)(XXH3_64bits (key, strlen (key)) % GSPAN_KEY_PARTITION_COUNT);
}

char *
gspan_key_partition_lease_name (guint slot)
{
  return g_strdup_printf ("slot.%u", slot);
}

static struct Slot *
slot_at (const struct GspanBoard *board, guint index)
{
  return g_ptr_array_index (board->key_partitions->slots, index);
}

void
gspan_key_partition_acquire (struct GspanBoard *board, guint slot)
{
  char *name;

  if (board->draining)
    return;
  name = gspan_key_partition_lease_name (slot);
  slot_at (board, slot)->lease = gspan_leases_acquire (&board->leases, name);
  g_free (name);
}

void
gspan_key_partition_cancel_acquire (struct GspanBoard *board, guint slot)
{
  struct GspanLease *lease = slot_at (board, slot)->lease;

  if (lease != NULL && lease->held_until_us == 0 && lease->state == GSPAN_LEASE_IDLE)
    lease->should_hold = false;
}

bool
gspan_key_partition_is_owned (const struct GspanBoard *board, guint slot)
{
  const struct GspanLease *lease = slot_at (board, slot)->lease;

  return lease != NULL && gspan_lease_held (lease, board->now);
}

static void
log_slot (const struct Slot *slot, const char *event, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_u64 (&line, "slot", slot->index);
  gspan_line_u64 (&line, "fence", slot->fence);
  gspan_line_u64 (&line, "version", slot->version);
  gspan_line_u64 (&line, "keys", slot->journal.order.length);
  gspan_outbox_log (outbox, "slots", GSPAN_PRIORITY_NOTICE, &line);
}

static void
log_key (const char *event, const char *key, const char *detail, struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "key", key);
  gspan_line_u64 (&line, "slot", gspan_key_partition_of (key));
  gspan_line_cstr (&line, "detail", detail);
  gspan_outbox_log (outbox, "slots", GSPAN_PRIORITY_INFO, &line);
}

static void
answer_waiter (struct GspanBoard *board, const struct GspanKeyedWaiter *waiter,
               struct gspan_keyed_res *res, struct GspanOutbox *outbox)
{
  struct GspanAction *action;

  if (res->content_type == NULL)
    res->content_type = (char *)"";
  if (waiter->kind == GSPAN_KEYED_WAITER_LOCAL)
    {
      gspan_keyed_calls_reply_received (board, waiter->id, res, outbox);
      return;
    }
  action = gspan_outbox_add (outbox, GSPAN_ACTION_RPC_REPLY, (struct GspanRef){ 0 });
  action->u.rpc.call = waiter->id;
  action->u.rpc.payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_keyed_res, res);
}

static void
refuse (struct GspanBoard *board, const struct GspanKeyedWaiter *waiter, gspan_status status,
        struct GspanOutbox *outbox)
{
  struct gspan_keyed_res res = { 0 };

  res.status = status;
  answer_waiter (board, waiter, &res, outbox);
}

static void
answer_outcome (struct GspanBoard *board, const struct GspanKeyedWaiter *waiter,
                enum GspanOutcome outcome, struct GspanOutbox *outbox)
{
  struct gspan_keyed_res res = { 0 };

  res.status = GSPAN_STATUS_OK;
  res.outcome = outcome;
  answer_waiter (board, waiter, &res, outbox);
}

/* Ends RUN: tells all who wait for it. */
static void
end_run (struct GspanBoard *board, struct Run *run, struct gspan_keyed_res *res,
         struct GspanOutbox *outbox)
{
  log_key ("keyed-end", run->key, gspan_outcome_name (res->outcome), outbox);
  g_hash_table_remove (board->key_partitions->by_key, run->key);
  g_hash_table_steal (board->key_partitions->runs, &run->id);
  for (guint i = 0; i < run->waiters->len; i++)
    answer_waiter (board, &g_array_index (run->waiters, struct GspanKeyedWaiter, i), res, outbox);
  run_free (run);
}

/* Gives up a run that was not dispatched and never will be. */
static void
abandon_run (struct GspanBoard *board, struct Run *run, struct GspanOutbox *outbox)
{
  struct Slot *slot = slot_at (board, run->slot);
  struct gspan_keyed_res res = { 0 };

  gspan_journal_forget (&slot->journal, run->key);
  slot->dirty = true;
  res.status = GSPAN_STATUS_OK;
  res.outcome = GSPAN_OUTCOME_NOT_RUN;
  end_run (board, run, &res, outbox);
}

/* Numbers of the slot's runs that are in PHASE or before it. */
static GArray *
runs_until (const struct GspanBoard *board, guint slot, enum RunPhase phase)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, board->key_partitions->runs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct Run *run = value;

      if (run->slot == slot && run->phase <= phase)
        g_array_append_val (found, run->id);
    }
  return found;
}

static void
abandon_runs (struct GspanBoard *board, const struct Slot *slot, guint64 deadline_until,
              struct GspanOutbox *outbox)
{
  GArray *ids = runs_until (board, slot->index, RUN_WRITING);

  for (guint i = 0; i < ids->len; i++)
    {
      struct Run *run
          = g_hash_table_lookup (board->key_partitions->runs, &g_array_index (ids, guint64, i));

      if (run != NULL && run->deadline <= deadline_until)
        abandon_run (board, run, outbox);
    }
  g_array_unref (ids);
}

/* The platform doesn't answer: what waits for it is given up at once. */
static void
stall (struct GspanBoard *board, struct Slot *slot, struct GspanOutbox *outbox)
{
  if (!slot->stalled)
    log_slot (slot, "slot-stalled", outbox);
  slot->stalled = true;
  slot->retry_at = board->now + STALL_PAUSE_US;
  abandon_runs (board, slot, G_MAXUINT64, outbox);
}

static void
reset (struct Slot *slot)
{
  gspan_journal_finish (&slot->journal);
  gspan_journal_init (&slot->journal);
  g_clear_pointer (&slot->written, g_bytes_unref);
  slot->state = SLOT_UNREAD;
  slot->claimed = false;
  slot->stalled = false;
  slot->fence = 0;
  slot->dirty = false;
}

/* Another owner wrote the journal: nothing of ours lands any more. */
static void
lose (struct GspanBoard *board, struct Slot *slot, struct GspanOutbox *outbox)
{
  log_slot (slot, "slot-lost", outbox);
  abandon_runs (board, slot, G_MAXUINT64, outbox);
  reset (slot);
}

static void
send_object (struct Slot *slot, enum GspanObjectOp op, GBytes *body, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_KEY_PARTITIONS, slot->index };
  char *path = g_strdup_printf ("journal/slot.%u", slot->index);

  gspan_outbox_object (outbox, ref, op, path, slot->version, body);
  g_free (path);
}

static void
start_read (struct Slot *slot, enum SlotState state, struct GspanOutbox *outbox)
{
  slot->state = state;
  send_object (slot, GSPAN_OBJECT_GET, NULL, outbox);
}

static void
send_write (struct Slot *slot, struct GspanOutbox *outbox)
{
  slot->state = SLOT_WRITING;
  send_object (slot, GSPAN_OBJECT_PUT, g_bytes_ref (slot->written), outbox);
}

/* Writes the whole journal, with the intents of all runs that wait. */
static void
start_write (struct GspanBoard *board, struct Slot *slot, struct GspanOutbox *outbox)
{
  GArray *ids = runs_until (board, slot->index, RUN_WAITING);

  g_snprintf (slot->token, sizeof slot->token, "%s-%08x-%" G_GUINT64_FORMAT, board->self.name,
              board->incarnation, gspan_board_next_id (board));
  gspan_journal_age (&slot->journal, board->now);
  g_clear_pointer (&slot->written, g_bytes_unref);
  slot->written = gspan_journal_encode (&slot->journal, slot->token, board->now);
  slot->dirty = false;
  slot->next_write_at = board->now + WRITE_PERIOD_US;
  for (guint i = 0; i < ids->len; i++)
    {
      struct Run *run
          = g_hash_table_lookup (board->key_partitions->runs, &g_array_index (ids, guint64, i));

      run->phase = RUN_WRITING;
    }
  g_array_unref (ids);
  send_write (slot, outbox);
}

static void
dispatch (struct GspanBoard *board, struct Run *run, struct GspanOutbox *outbox)
{
  const struct GspanRecord *route
      = gspan_records_find (&board->records, GSPAN_RECORD_ROUTE, run->route);
  struct GspanDeskCallSpec work = { 0 };

  if (route == NULL || run->deadline <= board->now)
    {
      abandon_run (board, run, outbox);
      return;
    }
  run->phase = RUN_DISPATCHED;
  log_key ("keyed-dispatch", run->key, "", outbox);
  work.request_id = run->request_id;
  work.caller_id = gspan_str_from (run->caller_id);
  work.route = run->route;
  work.service = route->u.route.service;
  work.method = gspan_str_from (run->method);
  work.path = run->path;
  work.content_type = gspan_str_from (run->content_type);
  work.body = run->body;
  work.timeout_us = run->deadline - board->now;
  gspan_desk_execute (board, run->id, &work, outbox);
}

static void
on_landed (struct GspanBoard *board, struct Slot *slot, guint64 version, struct GspanOutbox *outbox)
{
  GArray *ids = runs_until (board, slot->index, RUN_WRITING);

  slot->state = SLOT_QUIET;
  slot->version = version;
  slot->stalled = false;
  if (!slot->claimed)
    log_slot (slot, "slot-claimed", outbox);
  slot->claimed = true;
  for (guint i = 0; i < ids->len; i++)
    {
      struct Run *run
          = g_hash_table_lookup (board->key_partitions->runs, &g_array_index (ids, guint64, i));

      if (run != NULL && run->phase == RUN_WRITING)
        dispatch (board, run, outbox);
    }
  g_array_unref (ids);
}

static void
on_read (struct GspanBoard *board, struct Slot *slot, const struct GspanEventObject *answer,
         struct GspanOutbox *outbox)
{
  if (answer->result == GSPAN_OBJECT_MISSING)
    slot->version = 0;
  else if (answer->result == GSPAN_OBJECT_OK
           && gspan_journal_decode (&slot->journal, gspan_str_from_bytes (answer->body),
                                    board->now))
    slot->version = answer->revision;
  else
    {
      reset (slot);
      slot->fence = slot->lease->fencing_token;
      stall (board, slot, outbox);
      return;
    }
  start_write (board, slot, outbox);
}

static void
on_write_answer (struct GspanBoard *board, struct Slot *slot, const struct GspanEventObject *answer,
                 struct GspanOutbox *outbox)
{
  switch (answer->result)
    {
    case GSPAN_OBJECT_OK:
      on_landed (board, slot, answer->revision, outbox);
      break;
    case GSPAN_OBJECT_UNKNOWN:
    case GSPAN_OBJECT_CONFLICT:
      /* A conflict too may be with an earlier sending of this very write. */
      start_read (slot, SLOT_SETTLING, outbox);
      break;
    case GSPAN_OBJECT_MISSING:
    case GSPAN_OBJECT_GAP:
    case GSPAN_OBJECT_UNAVAILABLE:
      slot->state = SLOT_SETTLING;
      stall (board, slot, outbox);
      break;
    }
}

/* Finds out whether the write whose answer was lost has landed. */
static void
on_read_back (struct GspanBoard *board, struct Slot *slot, const struct GspanEventObject *answer,
              struct GspanOutbox *outbox)
{
  bool there = answer->result == GSPAN_OBJECT_OK;
  bool missing = answer->result == GSPAN_OBJECT_MISSING;

  if (!there && !missing)
    stall (board, slot, outbox);
  else if (there && gspan_journal_written_by (gspan_str_from_bytes (answer->body), slot->token))
    on_landed (board, slot, answer->revision, outbox);
  else if ((there ? answer->revision : 0) == slot->version)
    send_write (slot, outbox);
  else
    lose (board, slot, outbox);
}

static void
on_object (struct GspanBoard *board, struct Slot *slot, const struct GspanEventObject *answer,
           struct GspanOutbox *outbox)
{
  switch (slot->state)
    {
    case SLOT_READING:
      on_read (board, slot, answer, outbox);
      break;
    case SLOT_WRITING:
      on_write_answer (board, slot, answer, outbox);
      break;
    case SLOT_SETTLING:
      on_read_back (board, slot, answer, outbox);
      break;
    case SLOT_UNREAD:
    case SLOT_QUIET:
      break;
    }
}

static bool
is_write_due (const struct GspanBoard *board, const struct Slot *slot)
{
  return slot->state == SLOT_QUIET && slot->dirty && board->now >= slot->next_write_at;
}

static void
on_tick (struct GspanBoard *board, struct Slot *slot, struct GspanOutbox *outbox)
{
  bool between = slot->state == SLOT_UNREAD || slot->state == SLOT_QUIET;

  if (slot->lease == NULL)
    return;
  abandon_runs (board, slot, board->now, outbox);
  if (slot->stalled && board->now < slot->retry_at)
    return;
  if (slot->stalled && slot->state == SLOT_SETTLING)
    {
      slot->retry_at = board->now + STALL_PAUSE_US;
      start_read (slot, SLOT_SETTLING, outbox);
      return;
    }
  if (between && gspan_lease_held (slot->lease, board->now)
      && (slot->state == SLOT_UNREAD || slot->fence != slot->lease->fencing_token))
    {
      abandon_runs (board, slot, G_MAXUINT64, outbox);
      reset (slot);
      slot->fence = slot->lease->fencing_token;
      start_read (slot, SLOT_READING, outbox);
    }
  else if (is_write_due (board, slot))
    start_write (board, slot, outbox);
}

static guint64
fingerprint_of (const struct gspan_keyed_args *args)
{
  guint64 hash = XXH3_64bits (args->body.body_val, args->body.body_len);

  hash = XXH3_64bits_withSeed (args->path, strlen (args->path), hash);
  return XXH3_64bits_withSeed (args->method, strlen (args->method), hash) >> 1;
}

/* Says that the key came first with another request; this one is not run. */
static void
answer_reused (struct GspanBoard *board, const struct GspanKeyedWaiter *waiter, const char *key,
               struct GspanOutbox *outbox)
{
  static char text[]
      = "{\"error\":{\"field\":\"Idempotency-Key\",\"message\":\"used for another request\"}}";
  struct gspan_keyed_res res = { 0 };

  log_key ("keyed-reused", key, "", outbox);
  res.status = GSPAN_STATUS_OK;
  res.outcome = GSPAN_OUTCOME_FAILED;
  res.http_status = STATUS_KEY_REUSED;
  res.content_type = (char *)"application/json";
  res.body.body_val = text;
  res.body.body_len = sizeof text - 1;
  answer_waiter (board, waiter, &res, outbox);
}

/* Gives the first answer again, or unknown where there is none to give. */
static void
replay (struct GspanBoard *board, const struct GspanKeyedWaiter *waiter,
        const struct GspanJournalEntry *entry, struct GspanOutbox *outbox)
{
  struct GspanStr body = gspan_str_from_bytes (entry->body);
  struct gspan_keyed_res res = { 0 };

  if (!entry->done || entry->body == NULL)
    {
      log_key ("keyed-replay", entry->key, "unknown", outbox);
      answer_outcome (board, waiter, GSPAN_OUTCOME_UNKNOWN, outbox);
      return;
    }
  log_key ("keyed-replay", entry->key, gspan_outcome_name (entry->outcome), outbox);
  res.status = GSPAN_STATUS_OK;
  res.outcome = entry->outcome;
  res.http_status = (guint)entry->status;
  res.content_type = entry->content_type;
  res.body.body_val = (char *)body.data;
  res.body.body_len = (u_int)body.len;
  answer_waiter (board, waiter, &res, outbox);
}

static void
start_run (struct GspanBoard *board, struct Slot *slot, const struct gspan_keyed_args *args,
           const struct GspanKeyedWaiter *waiter, struct GspanOutbox *outbox)
{
  struct Run *run;

  if (!gspan_journal_intend (&slot->journal, args->key, fingerprint_of (args), board->now))
    {
      log_key ("keyed-refused", args->key, "the journal is full", outbox);
      answer_outcome (board, waiter, GSPAN_OUTCOME_NOT_RUN, outbox);
      return;
    }
  run = g_new0 (struct Run, 1);
  run->id = gspan_board_next_id (board);
  run->slot = slot->index;
  run->key = g_strdup (args->key);
  run->fingerprint = fingerprint_of (args);
  run->request_id = g_strdup (args->request_id);
  run->caller_id = g_strdup (args->caller_id);
  run->route = g_strdup (args->route);
  run->method = g_strdup (args->method);
  run->path = g_strdup (args->path);
  run->content_type = g_strdup (args->content_type);
  run->body = g_bytes_new (args->body.body_val, args->body.body_len);
  run->deadline = board->now + args->timeout_us;
  run->waiters = g_array_new (FALSE, FALSE, sizeof (struct GspanKeyedWaiter));
  g_array_append_val (run->waiters, *waiter);
  g_hash_table_insert (board->key_partitions->runs, &run->id, run);
  g_hash_table_insert (board->key_partitions->by_key, run->key, run);
  log_key ("keyed-start", run->key, "", outbox);
  slot->dirty = true;
  if (is_write_due (board, slot))
    start_write (board, slot, outbox);
}

void
gspan_key_partitions_submit (struct GspanBoard *board, const struct gspan_keyed_args *args,
                             struct GspanKeyedWaiter waiter, struct GspanOutbox *outbox)
{
  struct Slot *slot = slot_at (board, gspan_key_partition_of (args->key));
  struct Run *run = g_hash_table_lookup (board->key_partitions->by_key, args->key);
  const struct GspanJournalEntry *entry
      = slot->claimed ? gspan_journal_find (&slot->journal, args->key) : NULL;
  guint64 fingerprint = fingerprint_of (args);

  if ((run != NULL && run->fingerprint != fingerprint)
      || (run == NULL && entry != NULL && entry->fingerprint != fingerprint))
    answer_reused (board, &waiter, args->key, outbox);
  else if (run != NULL)
    g_array_append_val (run->waiters, waiter);
  else if (entry != NULL)
    replay (board, &waiter, entry, outbox);
  else if (board->draining || !gspan_key_partition_is_owned (board, slot->index))
    refuse (board, &waiter, GSPAN_STATUS_NOT_OWNER, outbox);
  else if (slot->stalled)
    answer_outcome (board, &waiter, GSPAN_OUTCOME_NOT_RUN, outbox);
  else if (!slot->claimed || slot->fence != slot->lease->fencing_token)
    refuse (board, &waiter, GSPAN_STATUS_NOT_READY, outbox);
  else
    start_run (board, slot, args, &waiter, outbox);
}

void
gspan_key_partitions_execution_done (struct GspanBoard *board, guint64 id,
                                     enum GspanOutcome outcome, const struct GspanEventHttp *answer,
                                     struct GspanOutbox *outbox)
{
  struct Run *run = g_hash_table_lookup (board->key_partitions->runs, &id);
  struct Slot *slot = slot_at (board, run->slot);
  struct gspan_keyed_res res = { 0 };
  struct GspanStr type = { NULL, 0 };
  struct GspanStr body = { NULL, 0 };
  char *type_text;

  if (outcome == GSPAN_OUTCOME_NOT_RUN)
    {
      abandon_run (board, run, outbox);
      return;
    }
  if (answer != NULL)
    {
      type = gspan_headers_get (answer->headers, "Content-Type");
      body = gspan_str_from_bytes (answer->body);
    }
  gspan_journal_conclude (&slot->journal, run->key, outcome, answer != NULL ? answer->status : 0,
                          type, answer != NULL ? answer->body : NULL, board->now);
  slot->dirty = true;
  type_text = gspan_str_dup ((struct GspanStr){ type.data, MIN (type.len, GSPAN_MAX_NAME) });
  res.status = GSPAN_STATUS_OK;
  res.outcome = outcome;
  res.http_status = answer != NULL ? (guint)answer->status : 0;
  res.content_type = type_text;
  res.body.body_val = (char *)body.data;
  res.body.body_len = (u_int)body.len;
  end_run (board, run, &res, outbox);
  g_free (type_text);
}

static void
on_call (struct GspanBoard *board, const struct GspanEventRpc *rpc, struct GspanOutbox *outbox)
{
  struct GspanKeyedWaiter waiter = { GSPAN_KEYED_WAITER_PEER, rpc->call };
  struct gspan_keyed_args args = { 0 };
  struct GspanError error = { 0 };
  struct GspanAction *action;

  if (gspan_xdr_decode ((xdrproc_t)xdr_gspan_keyed_args, &args, rpc->payload, &error))
    gspan_key_partitions_submit (board, &args, waiter, outbox);
  else
    {
      action = gspan_outbox_add (outbox, GSPAN_ACTION_RPC_REPLY, (struct GspanRef){ 0 });
      action->u.rpc.call = rpc->call;
    }
  xdr_free ((xdrproc_t)xdr_gspan_keyed_args, &args);
}

void
gspan_key_partitions_handle (struct GspanBoard *board, const struct GspanEvent *event,
                             struct GspanOutbox *outbox)
{
  if (event->kind == GSPAN_EVENT_RPC_CALL)
    on_call (board, &event->u.rpc, outbox);
  else if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    on_object (board, slot_at (board, (guint)event->ref.id), &event->u.object, outbox);
  else if (event->kind == GSPAN_EVENT_TICK)
    for (guint i = 0; i < GSPAN_KEY_PARTITION_COUNT; i++)
      on_tick (board, slot_at (board, i), outbox);
}
