#pragma once

#include "board/message.h"

struct GspanNode;

/*
 * The lease of the node that gives orders to replicas, an object of the store. The holder renews it
 * by conditional writes; another node takes it over where it has seen no renewal for the lease's
 * length. Needs no common clock: the holder counts from the sending of a renewal, the others from
 * what they saw. Reads that may be old only delay a take-over, since the write is conditional.
 */

struct GspanOrderLease
{
  guint64 call;     /* under way; 0 is none */
  bool call_renews; /* it is a write of our own */
  guint64 call_sent;
  guint64 next_at;
  guint64 revision; /* seen last */
  guint64 seen_at;  /* when REVISION was seen first */
  char *holder;     /* as seen; empty where it was given back */
  guint64 fence;    /* as seen; rises with each holder */
  guint64 renewals; /* makes each renewal a change */
  bool held;
  guint64 held_until;  /* while HELD */
  guint64 orders_from; /* no order of the holder before can be under way then */
  bool missed;         /* there was none when it was read last */
  bool must_read;      /* the last write's result isn't known */
};

void gspan_order_lease_init (struct GspanOrderLease *lease);
void gspan_order_lease_finish (struct GspanOrderLease *lease);
void gspan_order_lease_handle (struct GspanNode *node, const struct GspanEvent *event,
                               struct GspanOutbox *outbox);

/* True where this node may send orders at NOW. */
bool gspan_order_lease_allows (const struct GspanOrderLease *lease, guint64 now);
