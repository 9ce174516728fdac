#pragma once

#include "board/message.h"
#include "node/heartbeats.h"
#include "node/registration.h"

struct GspanNode;

/*
 * The other nodes, from the entries that they write to the store (node/registration.h), and which
 * of them are present: those that are heard (node/heartbeats.h) and don't drain. What is to be
 * taken over is ranked among the present ones alone. Nodes may differ for some seconds in who is
 * present: what they must agree on takes a conditional write.
 */

#define GSPAN_PEERS_KIND "nodes"

struct GspanPeer
{
  char *name;
  char *zone;
  char *udp_address;     /* "IP:PORT" */
  char *relay_address;   /* "IP:PORT" where it passes requests on; NULL where it doesn't */
  char *relay_key;       /* that such requests have to bear */
  guint64 revision;      /* of its entry in the store */
  bool sends_heartbeats; /* builds before this one don't */
  guint cpu_milli;       /* its share of a processor, in thousandths; 0 is not known */
  bool counts_usage;     /* of client accounts (duties/usage_reports.h) */
  bool records_origins;  /* of streams, before they begin (gateway/origin_records.h); likewise */
  bool draining;         /* as it has said itself */
  guint64 heard_at;      /* its last datagram, or the first sight of this entry */
  guint64 asked_at;      /* for a heartbeat that hasn\'t come; 0 is not */
  guint64 next_heartbeat_at; /* to it */
};

struct GspanPeers
{
  GHashTable *items; /* name to struct GspanPeer; this node's entry too */
  struct GspanRegistration registration;
  struct GspanHeartbeats heartbeats;
  guint64 retry_at_us;
  char *retirement_vm;        /* request to empty this VM that waits for its status; NULL is none */
  guint64 retirement_call_id; /* writes it; 0 is none */
};

void gspan_peers_init (struct GspanPeers *peers);
void gspan_peers_finish (struct GspanPeers *peers);
void gspan_peers_apply (struct GspanNode *node, const struct GspanStoreObject *object,
                        struct GspanOutbox *outbox);

/* Nothing that lasts is kept on a VM's disk: a VM that is to be emptied is empty at once. */
void gspan_peers_apply_retirement (struct GspanNode *node, const struct GspanStoreObject *object,
                                   struct GspanOutbox *outbox);
void gspan_peers_handle (struct GspanNode *node, const struct GspanEvent *event,
                         struct GspanOutbox *outbox);

/*
 * Place of this node among those present that may take over JOB from OWNER, 0 first: nodes that
 * agree on who is present draw the same order.
 */
guint gspan_peers_takeover_rank (const struct GspanNode *node, const char *job, const char *owner);

/* Names of the first COUNT in that order, which are borrowed; fewer where there are fewer. */
guint gspan_peers_takeover_candidates (const struct GspanNode *node, const char *job,
                                       const char *owner, const char **names, guint count);

/*
 * Names of the first COUNT present nodes in the order drawn for KEY, without EXCLUDED and those
 * with less of a processor than LEAST_CPU_MILLI. They are borrowed.
 */
guint gspan_peers_draw (const struct GspanNode *node, const char *key, const char *excluded,
                        guint least_cpu_milli, const char **names, guint count);

/* True where the entries of all nodes are known, and all record the origins of streams. */
bool gspan_peers_all_record_origins (const struct GspanNode *node);

/* True where a node is known whose build records none. */
bool gspan_peers_has_build_without_records (const struct GspanNode *node);

/* Sends MESSAGE to all other nodes. */
void gspan_peers_send_all (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox);

/* Sends MESSAGE to the node at UDP_ADDRESS. */
void gspan_peers_send_to (const char *udp_address, json_t *message, struct GspanOutbox *outbox);

/* As gspan_heartbeats_ask (), for the node NAME, where it is known. */
void gspan_peers_ask (struct GspanNode *node, const char *name, struct GspanOutbox *outbox);

/* Sends MESSAGE to the node NAME; false where it isn't known. */
bool gspan_peers_send (struct GspanNode *node, const char *name, json_t *message,
                       struct GspanOutbox *outbox);
