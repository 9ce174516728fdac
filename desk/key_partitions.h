#pragma once

#include "board/message.h"
#include "desk/journal.h"
#include "rpc/gen/gspan.h"

struct GspanBoard;

/*
 * Owner's side of keyed calls. A key belongs to one of GSPAN_KEY_PARTITION_COUNT slots; whoever
 * holds the slot's lease keeps the slot's journal object. A new owner writes the journal once
 * before it takes calls; writes are conditional, so from then on no write of an earlier owner
 * lands. A call is dispatched only after the write that holds its intent has landed: at most one
 * owner can run a key, and whoever finds an intent without an outcome says unknown.
 *
 * Write budget: each slot starts a write at most every 200 ms, 80 a second for all slots together.
 */

enum
{
  GSPAN_KEY_PARTITION_COUNT = 16
};

/* Who waits for a keyed call's answer. */
enum GspanKeyedWaiterKind
{
  GSPAN_KEYED_WAITER_LOCAL, /* a call of this process's own callers, by its number */
  GSPAN_KEYED_WAITER_PEER   /* a peer's RPC, by its number */
};

struct GspanKeyedWaiter
{
  enum GspanKeyedWaiterKind kind;
  guint64 id;
};

struct GspanKeyPartitions
{
  GPtrArray *slots;   /* struct Slot, owns them */
  GHashTable *runs;   /* number to struct Run, owns them */
  GHashTable *by_key; /* key to struct Run */
};

void gspan_key_partitions_init (struct GspanKeyPartitions *slots);
void gspan_key_partitions_finish (struct GspanKeyPartitions *slots);

guint gspan_key_partition_of (const char *key);

/* Name of SLOT's lease, to be released with g_free (). */
char *gspan_key_partition_lease_name (guint slot);

/* Tries to become the owner of SLOT as soon as its lease is free. */
void gspan_key_partition_acquire (struct GspanBoard *board, guint slot);

/* Somebody else owns SLOT: no longer tries to. */
void gspan_key_partition_cancel_acquire (struct GspanBoard *board, guint slot);

/* True while this process may act as the owner of SLOT. */
bool gspan_key_partition_is_owned (const struct GspanBoard *board, guint slot);

/* Takes a keyed call. Its answer goes to WAITER, from within this call too. */
void gspan_key_partitions_submit (struct GspanBoard *board, const struct gspan_keyed_args *args,
                                  struct GspanKeyedWaiter waiter, struct GspanOutbox *outbox);

/* What came of RUN. ANSWER is NULL where no upstream's answer is to be passed on. */
void gspan_key_partitions_execution_done (struct GspanBoard *board, guint64 run,
                                          enum GspanOutcome outcome,
                                          const struct GspanEventHttp *answer,
                                          struct GspanOutbox *outbox);

void gspan_key_partitions_handle (struct GspanBoard *board, const struct GspanEvent *event,
                                  struct GspanOutbox *outbox);
bool gspan_key_partitions_is_busy (const struct GspanKeyPartitions *slots);
