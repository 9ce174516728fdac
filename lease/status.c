#include "lease/status.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"

#define WRITE_PERIOD_US (2 * GSPAN_SECOND)

struct Status
{
  guint64 id;
  char *path;
  char *wanted; /* NULL where nothing is to be written */
  char *written;
  char *sending;
  guint64 fence; /* of what is wanted */
  guint64 version;
  bool reading;
  bool outranked; /* the object holds a status under a higher fence */
  guint64 next_at;
};

static void
status_free (gpointer data)
{
  struct Status *status = data;

  g_free (status->path);
  free (status->wanted);
  g_free (status->written);
  g_free (status->sending);
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
  guint64 fence;

  if (status == NULL)
    {
      status = g_new0 (struct Status, 1);
      status->id = statuses->items->len;
      status->path = g_strdup_printf ("status/%s", name);
      g_ptr_array_add (statuses->items, status);
    }
  free (status->wanted);
  status->wanted = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS);
  fence = (guint64)json_integer_value (json_object_get (value, "fence"));
  status->outranked &= fence == status->fence;
  status->fence = fence;
  json_decref (value);
}

void
gspan_statuses_drop (struct GspanStatuses *statuses, const char *name)
{
  struct Status *status = find_status (statuses, name);

  if (status != NULL)
    g_clear_pointer (&status->wanted, free);
}

static guint64
fence_of (const char *text, size_t len)
{
  json_t *value = json_loadb (text, len, 0, NULL);
  json_int_t fence = json_integer_value (json_object_get (value, "fence"));

  json_decref (value);
  return (guint64)MAX (fence, 0);
}

static bool
is_same (const char *written, struct GspanStr text)
{
  json_t *mine = json_loads (written, 0, NULL);
  json_t *theirs = json_loadb (text.data, text.len, 0, NULL);
  bool same = json_equal (mine, theirs);

  json_decref (mine);
  json_decref (theirs);
  return same;
}

/* What the object holds decides: our own write that landed, an older status, or a newer holder's.
 */
static void
on_read_back (struct Status *status, const struct GspanEventObject *answer)
{
  struct GspanStr text = gspan_str_from_bytes (answer->body);

  if (text.data == NULL)
    return;
  status->outranked
      = fence_of (text.data, text.len) > fence_of (status->sending, strlen (status->sending));
  if (!is_same (status->sending, text))
    return;
  g_free (status->written);
  status->written = g_strdup (status->sending);
}

static void
on_answer (struct Status *status, const struct GspanEventObject *answer)
{
  bool was_reading = status->reading;

  if (answer->result == GSPAN_OBJECT_OK || answer->result == GSPAN_OBJECT_MISSING)
    status->reading = false;
  if (answer->result == GSPAN_OBJECT_OK)
    {
      status->version = answer->revision;
      if (was_reading)
        on_read_back (status, answer);
      else
        {
          g_free (status->written);
          status->written = g_strdup (status->sending);
        }
    }
  else if (answer->result == GSPAN_OBJECT_MISSING)
    status->version = 0;
  else if (answer->result == GSPAN_OBJECT_CONFLICT || answer->result == GSPAN_OBJECT_UNKNOWN)
    status->reading = true;
  g_clear_pointer (&status->sending, g_free);
}

static void
on_tick (struct GspanBoard *board, struct Status *status, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_STATUS, status->id };

  if (status->wanted == NULL || status->sending != NULL || status->outranked
      || board->now < status->next_at)
    return;
  if (!status->reading && status->written != NULL && strcmp (status->written, status->wanted) == 0)
    return;
  status->next_at = board->now + WRITE_PERIOD_US;
  status->sending = g_strdup (status->wanted);
  if (status->reading)
    gspan_outbox_object (outbox, ref, GSPAN_OBJECT_GET, status->path, 0, NULL);
  else
    gspan_outbox_object (outbox, ref, GSPAN_OBJECT_PUT, status->path, status->version,
                         g_bytes_new (status->sending, strlen (status->sending)));
}

void
gspan_statuses_handle (struct GspanBoard *board, const struct GspanEvent *event,
                       struct GspanOutbox *outbox)
{
  GPtrArray *items = board->statuses.items;

  if (event->kind == GSPAN_EVENT_OBJECT_DONE)
    {
      on_answer (g_ptr_array_index (items, event->ref.id), &event->u.object);
      return;
    }
  if (event->kind != GSPAN_EVENT_TICK)
    return;
  for (guint i = 0; i < items->len; i++)
    on_tick (board, g_ptr_array_index (items, i), outbox);
}
