#include "lease/status.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"

#define WRITE_INTERVAL_US (2 * GSPAN_SECOND)

struct Status
{
  guint64 id; /* index in the list of statuses */
  char *path;
  char *desired;         /* JSON to be written; NULL if nothing is to be written */
  char *written;         /* JSON last known to be stored; NULL before the first write */
  char *in_flight;       /* JSON that was desired when the present call was sent; NULL if none */
  guint64 fencing_token; /* of the desired status */
  guint64 revision;      /* of the object; 0 if there is none */
  bool must_read_back;   /* the last write had a conflict or an unknown result */
  bool superseded;       /* the object holds a status with a higher fencing token */
  guint64 next_call_at_us;
};

static void
status_free (gpointer data)
{
  struct Status *status = data;

  g_free (status->path);
  free (status->desired);
  g_free (status->written);
  g_free (status->in_flight);
  g_free (status);
}

void
gspan_statuses_init (struct GspanStatuses *statuses)
{
  statuses->items = g_ptr_array_new_with_free_func (status_free);
}

void
gspan_statuses_finish (struct GspanStatuses *statuses)
{
  g_ptr_array_unref (statuses->items);
}

static struct Status *
find_status (struct GspanStatuses *statuses, const char *name)
{
  for (guint i = 0; i < statuses->items->len; i++)
    {
      struct Status *status = g_ptr_array_index (statuses->items, i);

      if (strcmp (status->path + strlen ("status/"), name) == 0)
        return status;
    }
  return NULL;
}

void
gspan_statuses_set (struct GspanStatuses *statuses, const char *name, json_t *value)
{
  struct Status *status = find_status (statuses, name);
  guint64 fencing_token;

  if (status == NULL)
    {
      status = g_new0 (struct Status, 1);
      status->id = statuses->items->len;
      status->path = g_strdup_printf ("status/%s", name);
      g_ptr_array_add (statuses->items, status);
    }
  free (status->desired);
  status->desired = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS);
  fencing_token = (guint64)json_integer_value (json_object_get (value, "fence"));
  status->superseded &= fencing_token == status->fencing_token;
  status->fencing_token = fencing_token;
  json_decref (value);
}

void
gspan_statuses_drop (struct GspanStatuses *statuses, const char *name)
{
  struct Status *status = find_status (statuses, name);

  if (status != NULL)
    g_clear_pointer (&status->desired, free);
}

static guint64
parse_fencing_token (const char *stored, size_t len)
{
  json_t *value = json_loadb (stored, len, 0, NULL);
  json_int_t fencing_token = json_integer_value (json_object_get (value, "fence"));

  json_decref (value);
  return (guint64)MAX (fencing_token, 0);
}

static bool
json_is_equal (const char *written, struct GspanStr stored)
{
  json_t *written_value = json_loads (written, 0, NULL);
  json_t *stored_value = json_loadb (stored.data, stored.len, 0, NULL);
  bool same = json_equal (written_value, stored_value);

  json_decref (written_value);
  json_decref (stored_value);
  return same;
}

/*
 * Compares the object with what was to be written: it may hold the same, because the write was
 * applied, an older status, which is overwritten, or one of a newer lease holder.
 */
static void
on_read_back (struct Status *status, const struct GspanEventObject *reply)
{
  struct GspanStr stored = gspan_str_from_bytes (reply->body);

  if (stored.data == NULL)
    return;
  status->superseded = parse_fencing_token (stored.data, stored.len)
                       > parse_fencing_token (status->in_flight, strlen (status->in_flight));
  if (!json_is_equal (status->in_flight, stored))
    return;
  g_free (status->written);
  status->written = g_strdup (status->in_flight);
}

static void
on_reply (struct Status *status, const struct GspanEventObject *reply)
{
  bool was_read_back = status->must_read_back;

  if (reply->result == GSPAN_OBJECT_OK || reply->result == GSPAN_OBJECT_MISSING)
    status->must_read_back = false;
  if (reply->result == GSPAN_OBJECT_OK)
    {
      status->revision = reply->revision;
      if (was_read_back)
        on_read_back (status, reply);
      else
        {
          g_free (status->written);
          status->written = g_strdup (status->in_flight);
        }
    }
  else if (reply->result == GSPAN_OBJECT_MISSING)
    status->revision = 0;
  else if (reply->result == GSPAN_OBJECT_CONFLICT || reply->result == GSPAN_OBJECT_UNKNOWN)
    status->must_read_back = true;
  g_clear_pointer (&status->in_flight, g_free);
}

static void
on_tick (struct GspanBoard *board, struct Status *status, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_STATUS, status->id };

  if (status->desired == NULL || status->in_flight != NULL || status->superseded
      || board->now < status->next_call_at_us)
    return;
  if (!status->must_read_back && status->written != NULL
      && strcmp (status->written, status->desired) == 0)
    return;
  status->next_call_at_us = board->now + WRITE_INTERVAL_US;
  status->in_flight = g_strdup (status->desired);
  if (status->must_read_back)
    gspan_outbox_object (outbox, ref, GSPAN_OBJECT_GET, status->path, 0, NULL);
  else
    gspan_outbox_object (outbox, ref, GSPAN_OBJECT_PUT, status->path, status->revision,
                         g_bytes_new (status->in_flight, strlen (status->in_flight)));
}

void
gspan_statuses_handle (struct GspanBoard *board, const struct GspanEvent *event,
                       struct GspanOutbox *outbox)
{
  GPtrArray *items = board->statuses.items;

  if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    {
      on_reply (g_ptr_array_index (items, event->ref.id), &event->u.object);
      return;
    }
  if (event->kind != GSPAN_EVENT_TICK)
    return;
  for (guint i = 0; i < items->len; i++)
    on_tick (board, g_ptr_array_index (items, i), outbox);
}
