#include "route/vms.h"

#include <jansson.h>
#include <string.h>

#include "board/board.h"
#include "common/clock.h"

#define LIST_PERIOD_US (1 * GSPAN_SECOND)

static void
apply_vm (struct GspanBoard *board, json_t *vm)
{
  const char *name = json_string_value (json_object_get (vm, "name"));
  const char *service = json_string_value (json_object_get (vm, "service"));
  const char *zone = json_string_value (json_object_get (vm, "zone"));
  const char *address = json_string_value (json_object_get (vm, "address"));
  const char *state = json_string_value (json_object_get (vm, "state"));
  struct GspanUpstream *upstream;

  if (name == NULL || service == NULL || zone == NULL || address == NULL || state == NULL)
    return;
  upstream = gspan_upstreams_add (&board->upstreams, name, service, zone, address);
  upstream->state = strcmp (state, "live") == 0 ? GSPAN_UPSTREAM_LIVE : GSPAN_UPSTREAM_LEAVING;
}

static void
apply_list (struct GspanBoard *board, GBytes *body)
{
  struct GspanStr text = gspan_str_from_bytes (body);
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  json_t *list = json_object_get (root, "vms");
  json_t *vm;
  size_t index;

  if (json_is_array (list))
    {
      gspan_upstreams_mark_gone (&board->upstreams);
      json_array_foreach (list, index, vm)
      {
        apply_vm (board, vm);
      }
      gspan_upstreams_sweep (&board->upstreams);
      board->vms.listed = true;
    }
  json_decref (root);
}

void
gspan_vms_handle (struct GspanBoard *board, const struct GspanEvent *event,
                  struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_VMS, 0 };

  if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    {
      board->vms.busy = false;
      if (event->u.object.result == GSPAN_OBJECT_OK)
        apply_list (board, event->u.object.body);
    }
  if (board->vms.busy || board->now < board->vms.next_at)
    return;
  board->vms.busy = true;
  board->vms.next_at = board->now + LIST_PERIOD_US;
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_FETCH, "v1/vms", 0, NULL);
}
