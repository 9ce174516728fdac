#pragma once

#include "store/store.h"

struct GspanEvent;
struct GspanNode;
struct GspanOutbox;

/*
 * Entries of nodes in the store, one a node: each writes its own at its start and removes it as it
 * ends. One that ends otherwise can't, so the first in rank of those present removes the entry of a
 * node that nobody hears any more. A node that lives after all is told by who hears it, and writes
 * its entry again.
 */

struct GspanRegistration
{
  bool registered;  /* this node's entry is in the store */
  bool was_written; /* it has been, since the start */
  bool in_doubt;    /* another node doesn't know it: it has to be read */
  bool left;        /* as this node drains, its removal was tried */
  guint64 revision; /* of it; 0 where it isn't known */
  guint64 known_at; /* it was last written, or read for a doubt */
  guint64 call;     /* on it, under way; 0 is none */
  enum GspanStoreOp op;
  guint64 retry_at;
  guint64 removal_call; /* removes the entry of another node; 0 is none */
  char *removed_node;   /* that node */
};

void gspan_registration_init (struct GspanRegistration *registration);
void gspan_registration_finish (struct GspanRegistration *registration);

/* The store shows OBJECT, this node's own entry. */
void gspan_registration_apply_own (struct GspanNode *node, const struct GspanStoreObject *object);

/* Another node doesn't know this one. */
void gspan_registration_doubt (struct GspanNode *node);

/* True while a node that drains has its entry still to remove. */
bool gspan_registration_is_leaving (const struct GspanNode *node);

void gspan_registration_handle (struct GspanNode *node, const struct GspanEvent *event,
                                struct GspanOutbox *outbox);
