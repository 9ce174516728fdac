#include "route/vms.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "board/board.h"
#include "common/clock.h"

/* Service name of the system's own VMs in the list. */
#define OWN_SERVICE "gspan"
#define LIST_PERIOD_US (1 * GSPAN_SECOND)

void
gspan_vms_init (struct GspanVms *vms)
{
  memset (vms, 0, sizeof *vms);
  vms->live_nodes = g_ptr_array_new_with_free_func (g_free);
}

void
gspan_vms_finish (struct GspanVms *vms)
{
  g_clear_pointer (&vms->list_body, g_bytes_unref);
  g_ptr_array_unref (vms->live_nodes);
}

/* One of the system's own VMs. ADDRESS is its member's UDP address. */
static void
apply_member (struct GspanBoard *board, json_t *vm)
{
  gspan_member claim;

  memset (&claim, 0, sizeof claim);
  claim.name = (char *)json_string_value (json_object_get (vm, "name"));
  claim.zone = (char *)json_string_value (json_object_get (vm, "zone"));
  claim.udp = (char *)json_string_value (json_object_get (vm, "address"));
  claim.rpc = (char *)json_string_value (json_object_get (vm, "rpc"));
  if (claim.rpc != NULL && strcmp (claim.name, board->self.name) != 0)
    gspan_members_merge_listed_vm (&board->members, &claim, board->now);
}

static void
note_node (struct GspanVms *vms, const char *name, const char *state)
{
  if (strcmp (state, "live") == 0)
    g_ptr_array_add (vms->live_nodes, g_strdup (name));
}

static void
apply_upstream (struct GspanBoard *board, const char *name, const char *service, json_t *vm)
{
  const char *zone = json_string_value (json_object_get (vm, "zone"));
  const char *address = json_string_value (json_object_get (vm, "address"));
  const char *state = json_string_value (json_object_get (vm, "state"));
  struct GspanUpstream *upstream
      = gspan_upstreams_add (&board->upstreams, name, service, zone, address);

  upstream->state = strcmp (state, "live") == 0 ? GSPAN_UPSTREAM_LIVE : GSPAN_UPSTREAM_LEAVING;
}

static void
apply_vm (struct GspanBoard *board, json_t *vm)
{
  static const char *const fields[] = { "name", "service", "zone", "address", "state" };
  const char *name = json_string_value (json_object_get (vm, "name"));
  const char *service = json_string_value (json_object_get (vm, "service"));

  for (guint i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      if (!json_is_string (json_object_get (vm, fields[i])))
        return;
    }
  if (strcmp (service, OWN_SERVICE) == 0)
    {
      note_node (&board->vms, name, json_string_value (json_object_get (vm, "state")));
      apply_member (board, vm);
    }
  else
    apply_upstream (board, name, service, vm);
}

static void
keep_body (struct GspanVms *vms, GBytes *body)
{
  struct GspanStr text = gspan_str_from_bytes (body);

  g_clear_pointer (&vms->list_body, g_bytes_unref);
  vms->list_body = g_bytes_ref (body);
  vms->list_digest = XXH64 (text.data, text.len, 0);
  vms->list_changes++;
  vms->has_list = true;
}

void
gspan_vms_apply (struct GspanBoard *board, GBytes *body)
{
  struct GspanStr text = gspan_str_from_bytes (body);
  json_t *root;
  json_t *list;
  json_t *vm;
  size_t index;

  if (board->vms.has_list && XXH64 (text.data, text.len, 0) == board->vms.list_digest)
    {
      gspan_upstreams_remove_gone (&board->upstreams);
      return;
    }
  root = json_loadb (text.data, text.len, 0, NULL);
  list = json_object_get (root, "vms");
  if (json_is_array (list))
    {
      gspan_upstreams_mark_gone (&board->upstreams);
      gspan_members_begin_vm_list (&board->members);
      g_ptr_array_set_size (board->vms.live_nodes, 0);
      json_array_foreach (list, index, vm)
      {
        apply_vm (board, vm);
      }
      gspan_upstreams_remove_gone (&board->upstreams);
      keep_body (&board->vms, body);
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
      board->vms.fetch_pending = false;
      if (event->u.object.result == GSPAN_OBJECT_OK)
        gspan_vms_apply (board, event->u.object.body);
    }
  if (board->vms.fetch_pending || board->now < board->vms.next_list_at_us
      || !gspan_follow_reads_platform (board))
    return;
  board->vms.fetch_pending = true;
  board->vms.next_list_at_us = board->now + LIST_PERIOD_US;
  gspan_outbox_object (outbox, ref, GSPAN_OBJECT_FETCH, "v1/vms", 0, NULL);
}
