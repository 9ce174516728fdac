#pragma once

#include "board/message.h"

struct GspanBoard;

/*
 * Controller that keeps the upstream table and the members up with the platform's list of VMs. Only
 * processes that read the platform fetch it; the others get it from a relay.
 */
struct GspanVms
{
  bool fetch_pending;
  bool has_list;
  guint64 next_list_at_us;
  GBytes *list_body;     /* the latest list, as it came; NULL before the first */
  guint64 list_digest;   /* of BODY */
  GPtrArray *live_nodes; /* names of the system's own live VMs in that list, owned */
  guint64 list_changes;  /* rises with each list that differs from the one before */
};

void gspan_vms_init (struct GspanVms *vms);
void gspan_vms_finish (struct GspanVms *vms);

/* Takes in a whole list. A malformed one changes nothing. */
void gspan_vms_apply (struct GspanBoard *board, GBytes *body);

void gspan_vms_handle (struct GspanBoard *board, const struct GspanEvent *event,
                       struct GspanOutbox *outbox);
