#pragma once

#include <glib.h>
#include <stdbool.h>

#include "gateway/calls.h"

struct GspanNode;
struct GspanOutbox;

/*
 * Second attempts beside a slow first one, by service: what attempts usually take, what the
 * operator's share leaves, and the decision for each call. Answers replicas that are slow while
 * others of the service are quick, and keeps that from adding load where all of them are slow.
 * Without a share the second attempt follows half of the target, and nothing bounds their number.
 */

struct GspanHedging
{
  bool has_share;
  guint share_percent; /* 0: none are sent */
  GHashTable *services;
};

void gspan_hedging_init (struct GspanHedging *hedging, bool has_share, guint share_percent);
void gspan_hedging_finish (struct GspanHedging *hedging);

/* Sends a second attempt of CALL, whose first has no answer yet, if one is due and allowed. */
void gspan_hedging_check (struct GspanNode *node, struct GspanCall *call,
                          struct GspanOutbox *outbox);

/*
 * True where an attempt of CALL that failed may be replaced at once. One that may have run beside
 * another that is still open may not, since that would be a second attempt outside of the share.
 */
bool gspan_hedging_replaces (const struct GspanNode *node, const struct GspanCall *call,
                             bool not_run);

/* An attempt of CALL was sent. The call's first one adds to what its service may have. */
void gspan_hedging_note_sent (struct GspanNode *node, struct GspanCall *call);

/* ATTEMPT has brought the caller's answer; the call's others are cancelled right after. */
void gspan_hedging_note_answer (struct GspanNode *node, const struct GspanAttempt *attempt);

/* ATTEMPT has had no answer in the time that it was given. */
void gspan_hedging_note_timeout (struct GspanNode *node, const struct GspanAttempt *attempt);
