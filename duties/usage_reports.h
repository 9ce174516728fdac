#pragma once

#include "board/message.h"
#include "duties/usage.h"

struct GspanCall;
struct GspanNode;

/*
 * The fleet's usage reports to the platform, one for each window, sent by the holder of the lease
 * of orders (weights/order_lease.h) with its fencing token.
 *
 * Each node tells the holder what it has counted, by datagram, until the holder acknowledges the
 * window's end; a new holder is told all again. The holder closes a window some seconds after its
 * end, writes the sums to the store and then sends them, so that whoever follows sends the same
 * ones again. What a node counted in its last second is lost with it; a window that couldn't be
 * sent long after it was due is left out. While the store is away, reports wait.
 */

#define GSPAN_USAGE_KIND "usage"
#define GSPAN_USAGE_NAME "last"

enum GspanUsageStep
{
  GSPAN_USAGE_READ,  /* what the holder before has written isn't known */
  GSPAN_USAGE_CLOSE, /* the next window isn't closed */
  GSPAN_USAGE_SEND   /* the window written last has to be sent */
};

struct GspanUsageReports
{
  struct GspanUsage usage;
  guint64 next_tell_at;
  guint64 first_window; /* in which this node has started; 0 is none */
  /* of the holder */
  guint64 fence; /* that the rest belongs to; 0 is none */
  enum GspanUsageStep step;
  guint64 call; /* to the store or the platform; 0 is none */
  bool call_writes;
  guint64 next_call_at;
  guint64 revision; /* of the object in the store; 0 is none */
  guint64 window;   /* written last; 0 is none */
  json_t *counts;   /* of WINDOW */
};

void gspan_usage_reports_init (struct GspanUsageReports *reports, guint64 window_ms);
void gspan_usage_reports_finish (struct GspanUsageReports *reports);

/* A replica has begun to run CALL. */
void gspan_usage_reports_note_run (struct GspanNode *node, struct GspanCall *call);

/* True where this node reports usage, if it holds the lease. */
bool gspan_usage_reports_enabled (const struct GspanNode *node);

/* True where the holder has something to send. */
bool gspan_usage_reports_wanted (const struct GspanNode *node);

/* Take in what another node has counted, and the holder's word that it has taken it in. */
void gspan_usage_reports_receive (struct GspanNode *node, json_t *message,
                                  struct GspanOutbox *outbox);
void gspan_usage_reports_receive_ack (struct GspanNode *node, json_t *message);

void gspan_usage_reports_handle (struct GspanNode *node, const struct GspanEvent *event,
                                 struct GspanOutbox *outbox);
