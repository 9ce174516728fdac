#include "gateway/streams.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define KEPT_US (120 * GSPAN_SECOND) /* far longer than a stream lasts with all its resumptions */
#define TELL_AGAIN_US (40 * GSPAN_MS)
#define LOOK_AGAIN_US (GSPAN_SECOND) /* whether a service has several versions by now */

enum
{
  TELL_TIMES = 2,
  TOLD_MAX = 6,          /* nodes that are told of a stream; some of them may be dead as well */
  ORIGINS_MAX = 1 << 14, /* kept */
  IN_DATAGRAM_MAX = 64,
  ATTEMPT_LEN_MAX = 128,
  FORMAT_VERSION = 1
};

struct Origin
{
  char *attempt;
  char *service;
  char *software;
  guint64 noted_at;
  guint tell_again; /* 0 for those that others have told */
};

static void
origin_free (gpointer data)
{
  struct Origin *origin = data;

  g_free (origin->attempt);
  g_free (origin->service);
  g_free (origin->software);
  g_free (origin);
}

void
gspan_streams_init (struct GspanStreams *streams)
{
  *streams = (struct GspanStreams){ 0 };
  streams->origins = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, origin_free);
  streams->versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_streams_finish (struct GspanStreams *streams)
{
  g_queue_clear (&streams->order);
  g_queue_clear (&streams->untold);
  g_hash_table_unref (streams->origins);
  g_hash_table_unref (streams->versions);
}

void
gspan_streams_note_version (struct GspanNode *node, const char *service, const char *software)
{
  g_hash_table_replace (node->streams.versions, g_strdup_printf ("%s\n%s", service, software),
                        g_memdup2 (&node->now, sizeof node->now));
}

/* True if a registered replica of SERVICE has another version than SOFTWARE. */
static bool
has_other_version (const struct GspanNode *node, const char *service, const char *software)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct GspanReplica *replica = value;

      if (strcmp (replica->service, service) == 0 && strcmp (replica->software, software) != 0)
        return true;
    }
  return false;
}

bool
gspan_streams_is_mixed (const struct GspanNode *node, const char *service)
{
  size_t len = strlen (service);
  const char *first = NULL;
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, node->streams.versions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *software = (const char *)key + len + 1;

      if (strncmp (key, service, len) != 0 || ((const char *)key)[len] != '\n')
        continue;
      if (first == NULL && has_other_version (node, service, software))
        return true;
      if (*(const guint64 *)value + KEPT_US < node->now)
        continue;
      if (first != NULL)
        return true;
      first = software;
    }
  return false;
}

const char *
gspan_streams_find (const struct GspanStreams *streams, const char *attempt)
{
  const struct Origin *origin = g_hash_table_lookup (streams->origins, attempt);

  return origin != NULL ? origin->software : NULL;
}

static void
drop_oldest (struct GspanStreams *streams)
{
  struct Origin *origin = g_queue_pop_head (&streams->order);

  if (origin->tell_again > 0)
    g_queue_remove (&streams->untold, origin);
  g_hash_table_remove (streams->origins, origin->attempt);
}

/* Adds an origin unless it is known. */
static void
add (struct GspanNode *node, const char *attempt, const char *service, const char *software,
     guint tell_again)
{
  struct GspanStreams *streams = &node->streams;
  struct Origin *origin;

  if (attempt[0] == '\0' || strlen (attempt) > ATTEMPT_LEN_MAX
      || g_hash_table_contains (streams->origins, attempt))
    return;
  if (streams->order.length >= ORIGINS_MAX)
    drop_oldest (streams);
  origin = g_new0 (struct Origin, 1);
  origin->attempt = g_strdup (attempt);
  origin->service = g_strdup (service);
  origin->software = g_strdup (software);
  origin->noted_at = node->now;
  origin->tell_again = tell_again;
  if (tell_again > 0)
    g_queue_push_tail (&streams->untold, origin);
  g_hash_table_insert (streams->origins, origin->attempt, origin);
  g_queue_push_tail (&streams->order, origin);
}

static json_t *
encode (const struct Origin *origin)
{
  return json_pack ("{s:s, s:s, s:s}", "attempt", origin->attempt, "service", origin->service,
                    "software", origin->software);
}

/* Takes over LIST, of origins. */
static json_t *
message_of (json_t *list)
{
  return json_pack ("{s:s, s:i, s:o}", "kind", "streams", "format", FORMAT_VERSION, "streams",
                    list);
}

/* Tells the nodes chosen by ATTEMPT, so that streams are spread over the fleet. */
static void
tell (struct GspanNode *node, const char *attempt, json_t *message, struct GspanOutbox *outbox)
{
  const char *names[TOLD_MAX];
  guint count = gspan_peers_takeover_candidates (node, attempt, node->self.name, names, TOLD_MAX);

  for (guint i = 0; i < count; i++)
    gspan_peers_send (node, names[i], message, outbox);
}

/* Moves up to a datagram of origins of services with several versions to LIST, the newest first. */
static void
take_untold (struct GspanNode *node, json_t *list)
{
  struct GspanStreams *streams = &node->streams;
  GList *link = streams->untold.tail;

  while (link != NULL && json_array_size (list) < IN_DATAGRAM_MAX)
    {
      struct Origin *origin = link->data;
      GList *before = link->prev;

      if (gspan_streams_is_mixed (node, origin->service))
        {
          json_array_append_new (list, encode (origin));
          if (--origin->tell_again == 0)
            g_queue_delete_link (&streams->untold, link);
        }
      link = before;
    }
}

static void
tell_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  json_t *list = json_array ();
  const char *attempt;
  json_t *message;

  take_untold (node, list);
  attempt = json_string_value (json_object_get (json_array_get (list, 0), "attempt"));
  node->streams.next_tell_us = node->now + (attempt != NULL ? TELL_AGAIN_US : LOOK_AGAIN_US);
  message = message_of (list);
  if (attempt != NULL)
    tell (node, attempt, message, outbox);
  json_decref (message);
}

void
gspan_streams_note_begin (struct GspanNode *node, const char *attempt, const char *service,
                          const char *software, struct GspanOutbox *outbox)
{
  add (node, attempt, service, software, TELL_TIMES);
  if (gspan_streams_is_mixed (node, service))
    tell_due (node, outbox);
}

void
gspan_streams_ask (struct GspanNode *node, const char *attempt, struct GspanOutbox *outbox)
{
  json_t *message = json_pack ("{s:s, s:i, s:s, s:s}", "kind", "stream-ask", "format",
                               FORMAT_VERSION, "attempt", attempt, "udp", node->self.udp_address);

  gspan_peers_send_all (node, message, outbox);
  json_decref (message);
}

void
gspan_streams_receive (struct GspanNode *node, json_t *message)
{
  json_t *value;
  size_t index;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION)
    return;
  json_array_foreach (json_object_get (message, "streams"), index, value)
  {
    const char *attempt = json_string_value (json_object_get (value, "attempt"));
    const char *service = json_string_value (json_object_get (value, "service"));
    const char *software = json_string_value (json_object_get (value, "software"));

    if (attempt != NULL && service != NULL && software != NULL)
      add (node, attempt, service, software, 0);
  }
}

void
gspan_streams_receive_ask (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  const char *attempt = json_string_value (json_object_get (message, "attempt"));
  const char *udp = json_string_value (json_object_get (message, "udp"));
  const struct Origin *origin;
  json_t *list;
  json_t *answer;

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION || attempt == NULL
      || udp == NULL)
    return;
  origin = g_hash_table_lookup (node->streams.origins, attempt);
  if (origin == NULL)
    return;
  list = json_array ();
  json_array_append_new (list, encode (origin));
  answer = message_of (list);
  gspan_peers_send_to (udp, answer, outbox);
  json_decref (answer);
}

void
gspan_streams_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanStreams *streams = &node->streams;

  while (streams->order.length > 0)
    {
      const struct Origin *oldest = g_queue_peek_head (&streams->order);

      if (oldest->noted_at + KEPT_US >= node->now)
        break;
      drop_oldest (streams);
    }
  if (streams->untold.length > 0 && node->now >= streams->next_tell_us)
    tell_due (node, outbox);
}
