#pragma once

#include "board/message.h"

struct GspanNode;

#define GSPAN_ORDER_LEASE_NAME "orders" /* of the object; followers are ranked by it */

/*
 * The lease of the node that gives orders to replicas, an object of the store. The holder renews it
 * by conditional writes; another node takes it over where it has seen no renewal for the lease's
 * length. Needs no common clock: the holder counts from the sending of a renewal, the others from
 * what they saw. Reads that may be old only delay a take-over, since the write is conditional. A
 * holder without orders to send says so, and sends none before the store has its word to the
 * contrary: whoever takes over from it needn't wait for orders that may be under way. A holder that
 * reaches no replica (links/links.h), while others do, gives the lease back, as one that stops.
 */

struct GspanOrderLease
{
  guint64 call;     /* under way; 0 is none */
  bool call_renews; /* it is a write of our own */
  guint64 call_sent;
  guint64 next_at;
  guint64 revision; /* seen last */
  guint64 seen_at;  /* when REVISION was seen first */
  json_t *written;  /* the object as seen last; NULL is none */
  char *holder;     /* as seen; empty where it was given back */
  guint64 fence;    /* as seen; rises with each holder */
  guint64 renewals; /* makes each renewal a change */
  bool held;
  guint64 held_until;  /* while HELD */
  guint64 orders_from; /* no order of the holder before can be under way then */
  bool missed;         /* there was none when it was read last */
  bool wanted;         /* this node has orders to send */
  bool declared;       /* HELD: the store has our word that orders may follow */
  bool write_declares; /* the write under way says so */
  guint64 last_order;  /* HELD: of this node; 0 is none */
  bool seen_idle;      /* the holder said that it sends none before another renewal */
  guint64 idle_from;   /* SEEN_IDLE: its last order is not after this */
  bool must_read;      /* the last write's result isn't known */
};

void gspan_order_lease_init (struct GspanOrderLease *lease);
void gspan_order_lease_finish (struct GspanOrderLease *lease);
void gspan_order_lease_handle (struct GspanNode *node, const struct GspanEvent *event,
                               struct GspanOutbox *outbox);

/* Takes in the lease as its holder told it: SPEC at REVISION. */
void gspan_order_lease_receive (struct GspanNode *node, json_t *spec, guint64 revision,
                                struct GspanOutbox *outbox);

/* True where this node may send orders at NOW. */
bool gspan_order_lease_allows (const struct GspanOrderLease *lease, guint64 now);

/* True where this node holds the lease, and no order of the holder before is under way. */
bool gspan_order_lease_settled (const struct GspanOrderLease *lease, guint64 now);

/* Says whether this node has orders to send. */
void gspan_order_lease_want (struct GspanOrderLease *lease, bool wanted, guint64 now);
