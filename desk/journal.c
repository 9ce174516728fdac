#include "desk/journal.h"

#include <jansson.h>
#include <string.h>

#include "common/clock.h"

enum
{
  ENTRY_OVERHEAD = 128, /* bytes of an entry's numbers and punctuation at most */
  HEAD_MAX = 256
};

static void
entry_free (gpointer data)
{
  struct GspanJournalEntry *entry = data;

  g_free (entry->key);
  g_free (entry->content_type);
  g_clear_pointer (&entry->body, g_bytes_unref);
  g_free (entry);
}

void
gspan_journal_init (struct GspanJournal *journal)
{
  journal->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  g_queue_init (&journal->order);
  journal->size = HEAD_MAX;
}

void
gspan_journal_finish (struct GspanJournal *journal)
{
  g_queue_clear (&journal->order);
  g_hash_table_unref (journal->by_key);
}

/* Bytes of the entry as JSON at most: every byte of a text may need an escape, a body is base64. */
static size_t
size_of (const struct GspanJournalEntry *entry)
{
  size_t size = ENTRY_OVERHEAD + 2 * strlen (entry->key);

  if (entry->content_type != NULL)
    size += 2 * strlen (entry->content_type);
  if (entry->body != NULL)
    size += g_bytes_get_size (entry->body) * 4 / 3 + 4;
  return size;
}

const struct GspanJournalEntry *
gspan_journal_find (const struct GspanJournal *journal, const char *key)
{
  return g_hash_table_lookup (journal->by_key, key);
}

static void
drop_answer (struct GspanJournal *journal, struct GspanJournalEntry *entry)
{
  journal->size -= size_of (entry);
  g_clear_pointer (&entry->body, g_bytes_unref);
  journal->size += size_of (entry);
}

/* Makes room for BYTES at the cost of the oldest answers. */
static bool
make_room (struct GspanJournal *journal, size_t bytes)
{
  for (GList *item = journal->order.head; item != NULL; item = item->next)
    {
      if (journal->size + bytes <= GSPAN_JOURNAL_MAX)
        return true;
      drop_answer (journal, item->data);
    }
  return journal->size + bytes <= GSPAN_JOURNAL_MAX;
}

static void
append (struct GspanJournal *journal, struct GspanJournalEntry *entry)
{
  g_hash_table_insert (journal->by_key, entry->key, entry);
  g_queue_push_tail (&journal->order, entry);
  journal->size += size_of (entry);
}

static void
drop (struct GspanJournal *journal, struct GspanJournalEntry *entry)
{
  journal->size -= size_of (entry);
  g_queue_remove (&journal->order, entry);
  g_hash_table_remove (journal->by_key, entry->key);
}

bool
gspan_journal_intend (struct GspanJournal *journal, const char *key, guint64 fingerprint,
                      guint64 now)
{
  struct GspanJournalEntry *entry;

  gspan_journal_age (journal, now);
  if (!make_room (journal, ENTRY_OVERHEAD + 2 * strlen (key)))
    return false;
  entry = g_new0 (struct GspanJournalEntry, 1);
  entry->key = g_strdup (key);
  entry->fingerprint = fingerprint;
  entry->noted_at = now;
  append (journal, entry);
  return true;
}

static bool
is_kept (struct GspanJournal *journal, struct GspanStr content_type, GBytes *body)
{
  struct GspanStr text = gspan_str_from_bytes (body);

  if (text.len > GSPAN_JOURNAL_ANSWER_MAX || content_type.len > GSPAN_JOURNAL_KEY_MAX)
    return false;
  return make_room (journal, 2 * content_type.len + text.len * 4 / 3 + 4);
}

void
gspan_journal_conclude (struct GspanJournal *journal, const char *key, enum GspanOutcome outcome,
                        int status, struct GspanStr content_type, GBytes *body, guint64 now)
{
  struct GspanJournalEntry *entry = g_hash_table_lookup (journal->by_key, key);

  if (entry == NULL)
    return;
  journal->size -= size_of (entry);
  g_queue_remove (&journal->order, entry);
  entry->done = true;
  entry->outcome = outcome;
  entry->status = status;
  entry->noted_at = now;
  if (body != NULL && is_kept (journal, content_type, body))
    {
      entry->content_type = gspan_str_dup (content_type);
      entry->body = g_bytes_ref (body);
    }
  g_queue_push_tail (&journal->order, entry);
  journal->size += size_of (entry);
}

void
gspan_journal_forget (struct GspanJournal *journal, const char *key)
{
  struct GspanJournalEntry *entry = g_hash_table_lookup (journal->by_key, key);

  if (entry != NULL)
    drop (journal, entry);
}

void
gspan_journal_age (struct GspanJournal *journal, guint64 now)
{
  GList *item = journal->order.head;

  while (item != NULL)
    {
      struct GspanJournalEntry *entry = item->data;
      guint64 age = now - entry->noted_at;

      item = item->next;
      if (age < GSPAN_JOURNAL_LIFE_US)
        return;
      if (entry->done || age >= GSPAN_JOURNAL_INTENT_LIFE_US)
        drop (journal, entry);
    }
}

static json_t *
encode_entry (const struct GspanJournalEntry *entry, guint64 now)
{
  struct GspanStr body = gspan_str_from_bytes (entry->body);
  json_t *value = json_pack ("[s, I, I, b]", entry->key, (json_int_t)entry->fingerprint,
                             (json_int_t)(now - entry->noted_at), entry->done);
  char *text;

  if (!entry->done)
    return value;
  json_array_append_new (value, json_integer (entry->outcome));
  json_array_append_new (value, json_integer (entry->status));
  if (entry->body == NULL)
    return value;
  text = g_base64_encode ((const guchar *)body.data, body.len);
  json_array_append_new (value, json_string (entry->content_type));
  json_array_append_new (value, json_string (text));
  g_free (text);
  return value;
}

GBytes *
gspan_journal_encode (const struct GspanJournal *journal, const char *writer, guint64 now)
{
  json_t *entries = json_array ();
  json_t *root = json_pack ("{s:s, s:o}", "writer", writer, "entries", entries);
  char *text;

  for (GList *item = journal->order.head; item != NULL; item = item->next)
    json_array_append_new (entries, encode_entry (item->data, now));
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

static void
decode_answer (struct GspanJournalEntry *entry, json_t *value)
{
  const char *type = json_string_value (json_array_get (value, 6));
  const char *text = json_string_value (json_array_get (value, 7));
  gsize len;
  guchar *body;

  entry->outcome = (enum GspanOutcome)json_integer_value (json_array_get (value, 4));
  entry->status = (int)json_integer_value (json_array_get (value, 5));
  if (type == NULL || text == NULL)
    return;
  body = g_base64_decode (text, &len);
  entry->content_type = g_strdup (type);
  entry->body = g_bytes_new_take (body, len);
}

static bool
decode_entry (struct GspanJournal *journal, json_t *value, guint64 now)
{
  const char *key = json_string_value (json_array_get (value, 0));
  guint64 age = (guint64)json_integer_value (json_array_get (value, 2));
  struct GspanJournalEntry *entry;

  if (key == NULL || gspan_journal_find (journal, key) != NULL)
    return false;
  entry = g_new0 (struct GspanJournalEntry, 1);
  entry->key = g_strdup (key);
  entry->fingerprint = (guint64)json_integer_value (json_array_get (value, 1));
  entry->noted_at = now - MIN (age, now);
  entry->done = json_is_true (json_array_get (value, 3));
  if (entry->done)
    decode_answer (entry, value);
  append (journal, entry);
  return true;
}

bool
gspan_journal_decode (struct GspanJournal *journal, struct GspanStr data, guint64 now)
{
  json_t *root = json_loadb (data.data != NULL ? data.data : "", data.len, 0, NULL);
  json_t *entries = json_object_get (root, "entries");
  bool ok = json_is_array (entries);
  json_t *value;
  size_t index;

  json_array_foreach (entries, index, value)
  {
    ok = decode_entry (journal, value, now) && ok;
  }
  json_decref (root);
  return ok;
}

bool
gspan_journal_written_by (struct GspanStr data, const char *writer)
{
  json_t *root = json_loadb (data.data != NULL ? data.data : "", data.len, 0, NULL);
  const char *found = json_string_value (json_object_get (root, "writer"));
  bool same = found != NULL && strcmp (found, writer) == 0;

  json_decref (root);
  return same;
}
