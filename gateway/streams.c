#include "gateway/streams.h"

#include <string.h>

#include "common/clock.h"
#include "node/node.h"

#define KEPT_US GSPAN_VERSIONS_LATELY_US
#define TELL_AGAIN_US (40 * GSPAN_MS)

enum
{
  TELL_TIMES = 2,
  TOLD_MAX = 6,          /* nodes that are told of a stream; some of them may be dead as well */
  ORIGINS_MAX = 1 << 14, /* kept */
  IN_DATAGRAM_MAX = 64,
  ATTEMPT_LEN_MAX = 128,
  FORMAT_VERSION = 1
};

static void
origin_free (gpointer data)
{
  struct GspanOrigin *origin = data;

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
}

void
gspan_streams_finish (struct GspanStreams *streams)
{
  g_queue_clear (&streams->order);
  g_queue_clear (&streams->waiting);
  g_queue_clear (&streams->telling);
  g_hash_table_unref (streams->origins);
}

const char *
gspan_streams_find (const struct GspanStreams *streams, const char *attempt)
{
  const struct GspanOrigin *origin = g_hash_table_lookup (streams->origins, attempt);

  return origin != NULL ? origin->software : NULL;
}

static void
enqueue (GQueue *queue, struct GspanOrigin *origin)
{
  g_queue_push_tail (queue, origin);
  origin->queue = queue;
  origin->link = queue->tail;
}

static void
dequeue (struct GspanOrigin *origin)
{
  if (origin->queue == NULL)
    return;
  g_queue_delete_link (origin->queue, origin->link);
  origin->queue = NULL;
  origin->link = NULL;
}

static void
drop_oldest (struct GspanStreams *streams)
{
  struct GspanOrigin *origin = g_queue_pop_head (&streams->order);

  dequeue (origin);
  streams->kept_count -= origin->kept;
  g_hash_table_remove (streams->origins, origin->attempt);
}

static void
set_software (struct GspanOrigin *origin, const char *software)
{
  if (strcmp (origin->software, software) == 0)
    return;
  g_free (origin->software);
  origin->software = g_strdup (software);
  origin->in_doubt = origin->in_doubt || origin->recorded || origin->sent_at != 0;
  origin->recorded = false;
  origin->write = 0;
  origin->sent_at = 0;
}

/* Adds an origin; NULL where it is known. */
static struct GspanOrigin *
add (struct GspanNode *node, const char *attempt, const char *service, const char *software)
{
  struct GspanStreams *streams = &node->streams;
  struct GspanOrigin *origin;

  if (attempt[0] == '\0' || strlen (attempt) > ATTEMPT_LEN_MAX
      || g_hash_table_contains (streams->origins, attempt))
    return NULL;
  if (streams->order.length >= ORIGINS_MAX)
    drop_oldest (streams);
  origin = g_new0 (struct GspanOrigin, 1);
  origin->attempt = g_strdup (attempt);
  origin->service = g_strdup (service);
  origin->software = g_strdup (software);
  origin->noted_at = node->now;
  g_hash_table_insert (streams->origins, origin->attempt, origin);
  g_queue_push_tail (&streams->order, origin);
  return origin;
}

/* True where nothing has to be kept of ORIGIN, as long as the store names the base. */
static bool
is_of_base (const struct GspanNode *node, const struct GspanOrigin *origin)
{
  const char *base = gspan_version_history_base (node, origin->service);

  return base != NULL && strcmp (origin->software, base) == 0;
}

/* As add (), or the origin that is known; NULL where there can't be one. */
static struct GspanOrigin *
add_or_find (struct GspanNode *node, const char *attempt, const char *service, const char *software)
{
  struct GspanOrigin *origin = add (node, attempt, service, software);

  return origin != NULL ? origin : g_hash_table_lookup (node->streams.origins, attempt);
}

/* The store has ORIGIN; writes that were sent before meet a newer revision. */
static void
note_recorded (struct GspanOrigin *origin)
{
  origin->recorded = true;
  origin->in_doubt = false;
}

/* Has the origin of ATTEMPT, if it is known, kept in the store. */
static void
keep (struct GspanNode *node, const char *attempt)
{
  struct GspanOrigin *origin = g_hash_table_lookup (node->streams.origins, attempt);

  if (origin == NULL || origin->kept)
    return;
  origin->kept = true;
  node->streams.kept_count++;
  gspan_origin_store_note_change (node, is_of_base (node, origin));
}

void
gspan_streams_add_kept (struct GspanNode *node, const char *attempt, const char *service,
                        const char *software, bool own)
{
  struct GspanOrigin *origin = add_or_find (node, attempt, service, software);

  if (origin == NULL || !own)
    return;
  if (strcmp (origin->software, software) == 0)
    note_recorded (origin);
  keep (node, attempt);
}

void
gspan_streams_record (struct GspanNode *node, const char *attempt, const char *service,
                      const char *software)
{
  struct GspanOrigin *origin = add_or_find (node, attempt, service, software);

  if (origin == NULL || origin->began)
    return;
  set_software (origin, software);
  keep (node, attempt);
  if (!origin->recorded)
    gspan_origin_store_note_change (node, false);
}

bool
gspan_streams_is_recorded (const struct GspanStreams *streams, const char *attempt,
                           const char *software)
{
  const struct GspanOrigin *origin = g_hash_table_lookup (streams->origins, attempt);

  return origin != NULL && origin->recorded && strcmp (origin->software, software) == 0;
}

guint64
gspan_streams_sent_at (const struct GspanStreams *streams, const char *attempt)
{
  const struct GspanOrigin *origin = g_hash_table_lookup (streams->origins, attempt);

  return origin != NULL ? origin->sent_at : 0;
}

static void
stop_keeping (struct GspanStreams *streams, struct GspanOrigin *origin)
{
  streams->kept_count -= origin->kept;
  origin->kept = false;
}

bool
gspan_streams_withdraw (struct GspanNode *node, const char *attempt)
{
  struct GspanOrigin *origin = g_hash_table_lookup (node->streams.origins, attempt);

  if (origin == NULL || origin->began || origin->recorded || origin->in_doubt
      || origin->sent_at != 0)
    return false;
  stop_keeping (&node->streams, origin);
  return true;
}

void
gspan_streams_note_sent (const struct GspanNode *node, struct GspanOrigin *origin, guint64 write)
{
  origin->write = write;
  if (origin->sent_at == 0)
    origin->sent_at = node->now;
}

void
gspan_streams_note_written (struct GspanStreams *streams, guint64 write)
{
  for (GList *item = streams->order.head; item != NULL; item = item->next)
    {
      struct GspanOrigin *origin = item->data;

      if (origin->write == write)
        note_recorded (origin);
    }
}

void
gspan_streams_note_not_written (struct GspanStreams *streams, guint64 write, bool in_doubt)
{
  for (GList *item = streams->order.head; item != NULL; item = item->next)
    {
      struct GspanOrigin *origin = item->data;

      if (origin->write != write)
        continue;
      origin->in_doubt = origin->in_doubt || in_doubt;
      if (!origin->in_doubt)
        origin->sent_at = 0;
    }
}

static json_t *
encode (const struct GspanOrigin *origin)
{
  return json_pack ("{s:s, s:s, s:s}", "attempt", origin->attempt, "service", origin->service,
                    "software", origin->software);
}

/* Takes over LIST, of origins. TO_KEEP has the receiver keep them in the store. */
static json_t *
message_of (json_t *list, bool to_keep)
{
  return json_pack ("{s:s, s:i, s:b, s:o}", "kind", "streams", "format", FORMAT_VERSION, "keep",
                    (int)to_keep, "streams", list);
}

/* Tells the nodes chosen by ATTEMPT, so that streams are spread over the fleet. */
static void
tell (struct GspanNode *node, const char *attempt, json_t *list, struct GspanOutbox *outbox)
{
  json_t *message = message_of (json_incref (list), false);
  const char *names[TOLD_MAX];
  guint count = gspan_peers_takeover_candidates (node, attempt, node->self.name, names, TOLD_MAX);

  for (guint i = 0; i < count; i++)
    gspan_peers_send (node, names[i], message, outbox);
  json_decref (message);
}

/* Has LIST kept in the store, by nodes chosen by ATTEMPT. */
static void
have_kept (struct GspanNode *node, const char *attempt, json_t *list, struct GspanOutbox *outbox)
{
  json_t *message = message_of (json_incref (list), true);
  const char *names[TOLD_MAX];
  guint count = gspan_origin_store_keepers (node, attempt, names);
  json_t *value;
  size_t index;

  for (guint i = 0; i < count; i++)
    {
      gspan_peers_send (node, names[i], message, outbox);
      gspan_peers_ask (node, names[i], outbox);
    }
  json_decref (message);
  if (!gspan_origin_store_is_keeper (node, attempt))
    return;
  json_array_foreach (list, index, value)
      keep (node, json_string_value (json_object_get (value, "attempt")));
}

/*
 * Encodes up to a datagram of the origins that others have to be told of; those told once go last.
 * TO_KEEP gets those of them that have to be kept in the store.
 */
static json_t *
take_next (struct GspanNode *node, json_t *to_keep)
{
  struct GspanStreams *streams = &node->streams;
  json_t *list = json_array ();

  for (guint left = MIN (streams->telling.length, IN_DATAGRAM_MAX); left > 0; left--)
    {
      struct GspanOrigin *origin = g_queue_peek_tail (&streams->telling);

      json_array_append_new (list, encode (origin));
      if (!origin->recorded)
        json_array_append_new (to_keep, encode (origin));
      dequeue (origin);
      if (--origin->tell_again == 0)
        continue;
      g_queue_push_head (&streams->telling, origin);
      origin->queue = &streams->telling;
      origin->link = streams->telling.head;
    }
  return list;
}

static void
tell_next (struct GspanNode *node, struct GspanOutbox *outbox)
{
  json_t *to_keep = json_array ();
  json_t *list = take_next (node, to_keep);
  const char *attempt = json_string_value (json_object_get (json_array_get (list, 0), "attempt"));

  node->streams.next_tell_us = node->now + TELL_AGAIN_US;
  if (attempt != NULL)
    tell (node, attempt, list, outbox);
  if (json_array_size (to_keep) > 0)
    have_kept (node, attempt, to_keep, outbox);
  json_decref (to_keep);
  json_decref (list);
}

void
gspan_streams_note_begin (struct GspanNode *node, const char *attempt, const char *service,
                          const char *software, struct GspanOutbox *outbox)
{
  struct GspanStreams *streams = &node->streams;
  bool mixed = gspan_versions_is_mixed (node, service);
  struct GspanOrigin *origin = add_or_find (node, attempt, service, software);

  if (origin == NULL || origin->began)
    return;
  origin->began = true;
  set_software (origin, software);
  origin->tell_again = TELL_TIMES;
  dequeue (origin);
  enqueue (mixed ? &streams->telling : &streams->waiting, origin);
  if (mixed)
    tell_next (node, outbox);
}

void
gspan_streams_note_resumed (struct GspanNode *node, const char *attempt, const char *service,
                            const char *software)
{
  struct GspanOrigin *origin;

  if (gspan_versions_is_mixed (node, service))
    return; /* those that knew it have told others */
  origin = add_or_find (node, attempt, service, software);
  if (origin == NULL || origin->queue != NULL)
    return;
  origin->tell_again = TELL_TIMES;
  enqueue (&node->streams.waiting, origin);
}

void
gspan_streams_note_end (struct GspanNode *node, const char *attempt)
{
  struct GspanOrigin *origin = g_hash_table_lookup (node->streams.origins, attempt);

  if (origin == NULL)
    return;
  dequeue (origin);
  stop_keeping (&node->streams, origin);
}

void
gspan_streams_note_new_version (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanStreams *streams = &node->streams;
  const char *service = NULL;
  bool mixed = false;
  GList *next;

  for (GList *link = streams->waiting.head; link != NULL; link = next)
    {
      struct GspanOrigin *origin = link->data;

      next = link->next;
      if (g_strcmp0 (service, origin->service) != 0)
        mixed = gspan_versions_is_mixed (node, origin->service);
      service = origin->service;
      if (!mixed)
        continue;
      dequeue (origin);
      enqueue (&streams->telling, origin);
    }
  if (streams->telling.length > 0)
    tell_next (node, outbox);
}

void
gspan_streams_ask (struct GspanNode *node, const char *attempt, struct GspanOutbox *outbox)
{
  json_t *message = json_pack ("{s:s, s:i, s:s, s:s}", "kind", "stream-ask", "format",
                               FORMAT_VERSION, "attempt", attempt, "udp", node->self.udp_address);

  gspan_peers_send_all (node, message, outbox);
  json_decref (message);
}

/* Builds before this one don't say whether a stream is to be kept; its keepers keep it then. */
static bool
is_to_keep (const struct GspanNode *node, const json_t *message, const char *attempt)
{
  const json_t *keep = json_object_get (message, "keep");

  return keep != NULL ? json_is_true (keep) : gspan_origin_store_is_keeper (node, attempt);
}

/* What is told is settled; a list may have shown a version at which the stream didn't begin. */
static void
take_told (struct GspanNode *node, const char *attempt, const char *service, const char *software)
{
  struct GspanOrigin *origin = add_or_find (node, attempt, service, software);

  if (origin == NULL || origin->began)
    return;
  set_software (origin, software);
  origin->began = true;
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

    if (attempt == NULL || service == NULL || software == NULL)
      continue;
    take_told (node, attempt, service, software);
    if (is_to_keep (node, message, attempt))
      keep (node, attempt);
  }
}

void
gspan_streams_receive_ask (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  const char *attempt = json_string_value (json_object_get (message, "attempt"));
  const char *udp = json_string_value (json_object_get (message, "udp"));
  const struct GspanOrigin *origin;
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
  answer = message_of (list, false);
  gspan_peers_send_to (udp, answer, outbox);
  json_decref (answer);
}

void
gspan_streams_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanStreams *streams = &node->streams;

  while (streams->order.length > 0)
    {
      const struct GspanOrigin *oldest = g_queue_peek_head (&streams->order);

      if (oldest->noted_at + KEPT_US >= node->now)
        break;
      drop_oldest (streams);
    }
  if (streams->telling.length > 0 && node->now >= streams->next_tell_us)
    tell_next (node, outbox);
}
