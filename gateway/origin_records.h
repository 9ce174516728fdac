#pragma once

struct GspanCall;
struct GspanNode;
struct GspanOutbox;

/*
 * Origins of streams that are in the store before the streams begin. After any death a stream that
 * nobody knows, and that isn't recorded, is of the base of its service (gateway/version_history.h).
 * So a stream that may begin at a replica of another version waits until the store has its origin;
 * the cost falls on such streams alone, while replicas are upgraded.
 *
 * While the store is late, streams begin at the base where it has replicas. One whose record has
 * been sent may not: the store may have it seconds later. It is refused as not run, and its
 * caller's next try begins at the base.
 */

enum GspanStreamStart
{
  GSPAN_STREAM_MAY_START,
  GSPAN_STREAM_WAITS,  /* for the store */
  GSPAN_STREAM_REFUSED /* it may begin at no version now */
};

/* Version that CALL is to go to next; NULL is any. Borrowed until the next event. */
const char *gspan_origin_records_version (const struct GspanNode *node,
                                          const struct GspanCall *call);

/*
 * Has CALL begin at the base instead, where it waits for a record that no write has held and the
 * store is late or 0.4 s are over.
 */
void gspan_origin_records_withdraw (struct GspanNode *node, struct GspanCall *call,
                                    struct GspanOutbox *outbox);

/*
 * Whether CALL may be sent to a replica of the version SOFTWARE. Unless that is the base, it waits
 * until the store has that version as its origin: for 0.4 s where it could begin at the base, else
 * for half of its time. Where the service has no base, it then begins without a record: if all
 * nodes die it is refused, never joined.
 */
enum GspanStreamStart gspan_origin_records_check (struct GspanNode *node, struct GspanCall *call,
                                                  const char *software, struct GspanOutbox *outbox);
