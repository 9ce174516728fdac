#include "http/sent_ids.h"

#include <string.h>

#include "common/clock.h"

enum
{
  IDS_MAX = 65536 /* of each of the two sets */
};

#define SET_US (GSPAN_SENT_ID_KEPT_US + 5 * GSPAN_SECOND) /* ages are compared in whole seconds */
#define FNV_OFFSET G_GUINT64_CONSTANT (0xcbf29ce484222325)
#define FNV_PRIME G_GUINT64_CONSTANT (0x100000001b3)

/* Keys are the hashes themselves, so that a set costs no memory beside its table. */
static GHashTable *
new_set (void)
{
  return g_hash_table_new (NULL, NULL);
}

void
gspan_sent_ids_init (struct GspanSentIds *ids)
{
  ids->current = new_set ();
  ids->previous = new_set ();
  ids->since = 0;
  ids->all_since = 0;
}

void
gspan_sent_ids_finish (struct GspanSentIds *ids)
{
  g_hash_table_unref (ids->current);
  g_hash_table_unref (ids->previous);
}

static guint64
hash_bytes (guint64 hash, const char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    hash = (hash ^ (unsigned char)text[i]) * FNV_PRIME;
  return hash;
}

static gpointer
key_of (const char *url, const char *id)
{
  static const char scheme_end[] = "://";
  const char *scheme = strstr (url, scheme_end);
  const char *authority = scheme != NULL ? scheme + sizeof scheme_end - 1 : url;
  guint64 hash = hash_bytes (FNV_OFFSET, authority, strcspn (authority, "/?"));

  return (gpointer)(guintptr)hash_bytes (hash_bytes (hash, "", 1), id, strlen (id));
}

static void
begin_set (struct GspanSentIds *ids, guint64 now)
{
  g_hash_table_unref (ids->previous);
  ids->previous = ids->current;
  ids->all_since = ids->since;
  ids->current = new_set ();
  ids->since = now;
}

bool
gspan_sent_ids_note (struct GspanSentIds *ids, const char *url, const char *id, guint64 now)
{
  gpointer key = key_of (url, id);

  if (now >= ids->since + SET_US || g_hash_table_size (ids->current) >= IDS_MAX)
    begin_set (ids, now);
  return !g_hash_table_add (ids->current, key) || g_hash_table_contains (ids->previous, key);
}

guint
gspan_sent_ids_connection_age_max_s (const struct GspanSentIds *ids, guint64 now)
{
  guint64 known_s = (now - ids->all_since) / GSPAN_SECOND;

  /* one that is a fraction of a second older counts as of the same age */
  return (guint)MIN (GSPAN_SENT_ID_KEPT_US / GSPAN_SECOND, MAX (known_s, 1) - 1);
}
