#include "catalog/odd_objects.h"

#include <string.h>
#include <xxhash.h>

#include "node/node.h"

enum
{
  LOGGED_MAX = 1024, /* objects remembered; then all are forgotten, and may be logged again */
  TEXT_SHOWN_MAX = 120
};

void
gspan_odd_objects_init (struct GspanOddObjects *odd)
{
  odd->logged = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
gspan_odd_objects_finish (struct GspanOddObjects *odd)
{
  g_hash_table_unref (odd->logged);
}

static guint64 *
copy_u64 (guint64 value)
{
  guint64 *copy = g_new (guint64, 1);

  *copy = value;
  return copy;
}

static guint64
key_of (const char *kind, const char *name)
{
  return XXH64 (name, strlen (name), XXH64 (kind, strlen (kind), 0));
}

/* True the first time for REVISION of the object KEY. */
static bool
is_news (struct GspanOddObjects *odd, guint64 key, guint64 revision)
{
  const guint64 *logged = g_hash_table_lookup (odd->logged, &key);

  if (logged != NULL && *logged == revision)
    return false;
  if (g_hash_table_size (odd->logged) >= LOGGED_MAX)
    g_hash_table_remove_all (odd->logged);
  g_hash_table_replace (odd->logged, copy_u64 (key), copy_u64 (revision));
  return true;
}

static struct GspanStr
beginning_of (const char *text)
{
  return (struct GspanStr){ text, strnlen (text, TEXT_SHOWN_MAX) };
}

void
gspan_odd_objects_log (struct GspanNode *node, const char *kind,
                       const struct GspanStoreObject *object, const char *problem,
                       struct GspanOutbox *outbox)
{
  struct GspanLine line;

  if (!is_news (&node->catalog.odd_objects, key_of (kind, object->name), object->revision))
    return;
  gspan_line_init (&line, "object-unreadable");
  gspan_line_cstr (&line, "kind", kind);
  gspan_line_str (&line, "name", beginning_of (object->name));
  gspan_line_u64 (&line, "revision", object->revision);
  gspan_line_str (&line, "error", beginning_of (problem));
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_WARNING, &line);
}

void
gspan_odd_objects_log_reply (struct GspanNode *node, const char *kind,
                             const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  for (guint i = 0; i < reply->objects->len; i++)
    {
      const struct GspanStoreObject *object = g_ptr_array_index (reply->objects, i);

      if (object->problem != NULL && !object->removed)
        gspan_odd_objects_log (node, kind, object, object->problem, outbox);
    }
}
