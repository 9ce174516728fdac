#include "http/collected.h"

enum
{
  ANSWER_MAX = 8 << 20 /* bytes of an answer */
};

void
gspan_collection_init (struct GspanCollection *collection, size_t most)
{
  *collection = (struct GspanCollection){ .most = most };
}

void
gspan_collected_init (struct GspanCollected *answer, struct GspanCollection *collection)
{
  *answer = (struct GspanCollected){ 0 };
  answer->collection = collection;
  answer->bytes = g_string_new (NULL);
  answer->link.data = answer;
  g_queue_push_tail_link (&collection->answers, &answer->link);
}

static size_t
held_by (const struct GspanCollected *answer)
{
  return answer->bytes->len > 0 ? answer->bytes->allocated_len : 0;
}

/* Takes ANSWER out of its collection; its bytes stay. */
static void
leave (struct GspanCollected *answer)
{
  answer->collection->held -= held_by (answer);
  g_queue_unlink (&answer->collection->answers, &answer->link);
  answer->collection = NULL;
}

void
gspan_collected_finish (struct GspanCollected *answer)
{
  if (answer->collection != NULL)
    leave (answer);
  if (answer->bytes != NULL)
    g_string_free (g_steal_pointer (&answer->bytes), TRUE);
}

static void
give_up (struct GspanCollected *answer)
{
  answer->collection->held -= held_by (answer);
  g_string_free (answer->bytes, TRUE);
  answer->bytes = g_string_new (NULL);
  answer->is_too_long = true;
}

static struct GspanCollected *
longest (const struct GspanCollection *collection)
{
  struct GspanCollected *found = collection->answers.head->data;

  for (const GList *link = collection->answers.head; link != NULL; link = link->next)
    {
      if (held_by (link->data) > held_by (found))
        found = link->data;
    }
  return found;
}

bool
gspan_collected_add (struct GspanCollected *answer, const char *data, size_t len)
{
  struct GspanCollection *collection = answer->collection;

  if (answer->is_too_long)
    return false;
  if (answer->bytes->len + len > ANSWER_MAX)
    {
      give_up (answer);
      return false;
    }
  collection->held -= held_by (answer);
  g_string_append_len (answer->bytes, data, (gssize)len);
  collection->held += held_by (answer);
  while (collection->held > collection->most)
    give_up (longest (collection));
  return !answer->is_too_long;
}

GBytes *
gspan_collected_steal (struct GspanCollected *answer)
{
  leave (answer);
  return g_string_free_to_bytes (g_steal_pointer (&answer->bytes));
}
