#include "gateway/version_history.h"

#include <string.h>

#include "common/clock.h"
#include "gateway/version_set.h"
#include "gateway/versions.h"
#include "node/node.h"

#define LOOK_US (200 * GSPAN_MS)
#define WRITE_EVERY_US (200 * GSPAN_MS)
#define RETRY_US (500 * GSPAN_MS)
#define READ_RETRY_US (100 * GSPAN_MS) /* well within a caller's wait for the store */
#define START_US (GSPAN_SECOND)        /* until the other nodes are known */
/* Between the first nodes that write, and between the others, which mostly have been told. */
#define FIRST_RANK_US (GSPAN_SECOND)
#define RANK_US (100 * GSPAN_MS)

enum
{
  FIRST_RANKS = 5,
  VERSIONS_MAX = 32, /* of a service, kept */
  FORMAT_VERSION = 1
};

/* What the store holds of a service, as far as this node knows. */
struct Stored
{
  bool known;
  bool wanted;     /* a call waits for it */
  bool needs_base; /* a stream waits until it names a base */
  guint64 read_at; /* or told by another node; 0 is not KNOWN */
  GHashTable *versions;
  char *base;            /* NULL is none */
  guint64 revision;      /* 0 is no object */
  guint64 differs_since; /* from what serves; 0 is not */
};

static void
stored_free (gpointer data)
{
  struct Stored *stored = data;

  g_hash_table_unref (stored->versions);
  g_free (stored->base);
  g_free (stored);
}

void
gspan_version_history_init (struct GspanVersionHistory *history)
{
  *history = (struct GspanVersionHistory){ 0 };
  history->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, stored_free);
}

static void
end_call (struct GspanVersionHistory *history)
{
  history->call = 0;
  g_clear_pointer (&history->service, g_free);
  g_clear_pointer (&history->writes, g_hash_table_unref);
  g_clear_pointer (&history->writes_base, g_free);
}

void
gspan_version_history_finish (struct GspanVersionHistory *history)
{
  end_call (history);
  g_hash_table_unref (history->services);
}

static struct Stored *
stored_of (struct GspanVersionHistory *history, const char *service)
{
  struct Stored *stored = g_hash_table_lookup (history->services, service);

  if (stored != NULL)
    return stored;
  stored = g_new0 (struct Stored, 1);
  stored->versions = gspan_version_set_new ();
  g_hash_table_insert (history->services, g_strdup (service), stored);
  return stored;
}

bool
gspan_version_history_is_known (const struct GspanNode *node, const char *service)
{
  const struct GspanVersionHistory *history = &node->version_history;
  const struct Stored *stored = g_hash_table_lookup (history->services, service);
  guint64 gap_at = node->catalog.replicas_gap_at;

  /* A version may have come and gone while this node stood still or heard nothing. */
  return (stored != NULL && stored->known && stored->read_at >= gap_at)
         || (history->began_at != 0
             && node->now >= MAX (history->began_at, gap_at) + GSPAN_VERSIONS_LATELY_US);
}

bool
gspan_version_history_is_read_since (const struct GspanNode *node, const char *service,
                                     guint64 since)
{
  const struct Stored *stored = g_hash_table_lookup (node->version_history.services, service);

  return stored != NULL && stored->known && stored->read_at >= since;
}

bool
gspan_version_history_is_read (const struct GspanNode *node, const char *service)
{
  return gspan_version_history_is_read_since (node, service, node->catalog.replicas_gap_at);
}

const char *
gspan_version_history_base (const struct GspanNode *node, const char *service)
{
  const struct Stored *stored = g_hash_table_lookup (node->version_history.services, service);

  if (!gspan_version_history_is_read (node, service) || stored->base == NULL
      || !gspan_versions_has_lately (node, service, stored->base)
      || !gspan_peers_all_record_origins (node))
    return NULL;
  return stored->base;
}

bool
gspan_version_history_names_base (const struct GspanNode *node, const char *service,
                                  const char *software)
{
  const struct Stored *stored = g_hash_table_lookup (node->version_history.services, service);

  return stored != NULL && g_strcmp0 (stored->base, software) == 0;
}

void
gspan_version_history_need_base (struct GspanNode *node, const char *service)
{
  stored_of (&node->version_history, service)->needs_base = true;
  node->version_history.next_look_at = 0;
}

void
gspan_version_history_want (struct GspanNode *node, const char *service)
{
  stored_of (&node->version_history, service)->wanted = true;
  node->version_history.next_look_at = 0;
}

/* Takes in LIST, of the versions that the store holds, and BASE; both may be NULL. */
static void
take_versions (struct GspanNode *node, const char *service, json_t *list, const char *base)
{
  struct Stored *stored = stored_of (&node->version_history, service);
  json_t *value;
  size_t index;

  stored->known = true;
  stored->read_at = node->now;
  stored->wanted = false;
  if (g_strcmp0 (stored->base, base) != 0)
    {
      g_free (stored->base);
      stored->base = g_strdup (base);
    }
  g_hash_table_remove_all (stored->versions);
  json_array_foreach (list, index, value)
  {
    const char *software = json_string_value (value);

    if (software == NULL || g_hash_table_size (stored->versions) >= VERSIONS_MAX)
      continue;
    g_hash_table_add (stored->versions, g_strdup (software));
    gspan_versions_note_earlier (node, service, software);
  }
}

static void
tell_others (struct GspanNode *node, const char *service, struct GspanOutbox *outbox)
{
  const struct Stored *stored = stored_of (&node->version_history, service);
  json_t *message
      = json_pack ("{s:s, s:i, s:s, s:o}", "kind", "software", "format", FORMAT_VERSION, "service",
                   service, "versions", gspan_version_set_encode (stored->versions));

  if (stored->base != NULL)
    json_object_set_new (message, "base", json_string (stored->base));
  gspan_peers_send_all (node, message, outbox);
  json_decref (message);
}

void
gspan_version_history_receive (struct GspanNode *node, json_t *message)
{
  const char *service = json_string_value (json_object_get (message, "service"));
  json_t *list = json_object_get (message, "versions");

  if (json_integer_value (json_object_get (message, "format")) != FORMAT_VERSION || service == NULL
      || !json_is_array (list))
    return;
  stored_of (&node->version_history, service)->revision = 0;
  take_versions (node, service, list, json_string_value (json_object_get (message, "base")));
}

/* Reads the object of SERVICE, or, if WRITES isn't NULL, writes these and BASE. */
static void
start_call (struct GspanNode *node, const char *service, enum GspanStoreOp op, GHashTable *writes,
            const char *base, struct GspanOutbox *outbox)
{
  struct GspanVersionHistory *history = &node->version_history;
  struct GspanRef ref = { GSPAN_OWNER_STREAMS, gspan_node_next_id (node) };
  struct GspanStoreCall *call
      = gspan_outbox_store (outbox, ref, op, GSPAN_VERSION_HISTORY_KIND, service);

  history->call = ref.id;
  history->service = g_strdup (service);
  history->writes = writes;
  history->writes_base = g_strdup (base);
  if (writes == NULL)
    return;
  call->revision = stored_of (history, service)->revision;
  call->value = json_pack ("{s:i, s:o}", "format", FORMAT_VERSION, "versions",
                           gspan_version_set_encode (writes));
  if (base != NULL)
    json_object_set_new (call->value, "base", json_string (base));
}

/* The versions that SERVICE has had lately, as many as are kept; free with g_hash_table_unref ().
 */
static GHashTable *
versions_to_keep (const struct GspanNode *node, const char *service)
{
  return gspan_version_set_keep_first (gspan_versions_lately (node, service), VERSIONS_MAX);
}

/*
 * The base that the object is to name, where LATELY is what it is to hold. A version that is alone
 * for as long as streams last has begun all of them. NULL is none.
 */
static const char *
base_to_keep (const struct GspanNode *node, const struct Stored *stored, GHashTable *lately)
{
  GHashTableIter iter;
  gpointer only = NULL;

  if (stored->base != NULL && g_hash_table_contains (lately, stored->base))
    return stored->base;
  if (!stored->known || g_hash_table_size (lately) != 1 || !gspan_peers_all_record_origins (node))
    return stored->base;
  g_hash_table_iter_init (&iter, lately);
  g_hash_table_iter_next (&iter, &only, NULL);
  return only;
}

/* True where the object holds what it is to hold. */
static bool
is_up_to_date (const struct GspanNode *node, const struct Stored *stored, GHashTable *lately)
{
  return stored->known && gspan_version_set_equal (stored->versions, lately)
         && g_strcmp0 (stored->base, base_to_keep (node, stored, lately)) == 0;
}

/* When this node may write what differs; the first in an order that all draw alike does so first.
 */
static guint64
write_at (const struct GspanNode *node, const char *service, const struct Stored *stored)
{
  guint64 rank = gspan_peers_takeover_rank (node, service, "");
  guint64 wait = MIN (rank, FIRST_RANKS) * FIRST_RANK_US;

  if (stored->needs_base)
    return 0;
  if (rank > FIRST_RANKS)
    wait += (rank - FIRST_RANKS) * RANK_US;
  return MAX (stored->differs_since + wait, node->version_history.began_at + START_US);
}

/*
 * Reads or writes the object of SERVICE where that is due. A write is made only right after the
 * object was read, so that nothing that another node has added is lost.
 */
static void
look_at (struct GspanNode *node, const char *service, struct GspanOutbox *outbox)
{
  struct GspanVersionHistory *history = &node->version_history;
  struct Stored *stored = stored_of (history, service);
  GHashTable *lately = versions_to_keep (node, service);
  bool differs = g_hash_table_size (lately) > 0 && !is_up_to_date (node, stored, lately);

  if (!differs)
    {
      stored->differs_since = 0;
      stored->needs_base = false;
    }
  else if (stored->differs_since == 0)
    stored->differs_since = node->now;
  if (history->call == 0 && node->now >= history->next_call_at
      && (stored->wanted || (differs && node->now >= write_at (node, service, stored))))
    start_call (node, service, GSPAN_STORE_GET, NULL, NULL, outbox);
  g_hash_table_unref (lately);
}

static bool
may_be_resumed (const struct GspanConfigRoute *route)
{
  return route->repeat == GSPAN_REPEAT_RESUMED;
}

static void
look (struct GspanNode *node, struct GspanOutbox *outbox)
{
  const struct GspanConfig *config = &node->catalog.config;

  for (guint i = 0; i < config->routes->len; i++)
    {
      const struct GspanConfigRoute *route = g_ptr_array_index (config->routes, i);

      for (guint s = 0; may_be_resumed (route) && s < route->shares->len; s++)
        {
          const struct GspanRouteShare *share = g_ptr_array_index (route->shares, s);

          look_at (node, share->service, outbox);
        }
    }
}

/* The object of SERVICE has just been read; writes it if this node is to. */
static void
after_read (struct GspanNode *node, const char *service, struct GspanOutbox *outbox)
{
  struct GspanVersionHistory *history = &node->version_history;
  struct Stored *stored = stored_of (history, service);
  GHashTable *lately = versions_to_keep (node, service);
  bool due = stored->differs_since != 0 && node->now >= write_at (node, service, stored);

  if (due && is_up_to_date (node, stored, lately)
      && gspan_peers_takeover_rank (node, service, "") < FIRST_RANKS)
    tell_others (node, service, outbox);
  if (due && !is_up_to_date (node, stored, lately))
    start_call (node, service, stored->revision != 0 ? GSPAN_STORE_REPLACE : GSPAN_STORE_CREATE,
                lately, base_to_keep (node, stored, lately), outbox);
  else
    g_hash_table_unref (lately);
}

static void
on_read (struct GspanNode *node, const char *service, const struct GspanStoreReply *reply,
         struct GspanOutbox *outbox)
{
  const struct GspanStoreObject *object = gspan_store_reply_first (reply);
  struct Stored *stored = stored_of (&node->version_history, service);
  json_t *spec = object != NULL ? object->spec : NULL;

  stored->revision = object != NULL ? object->revision : 0;
  take_versions (node, service, json_object_get (spec, "versions"),
                 json_string_value (json_object_get (spec, "base")));
  after_read (node, service, outbox);
}

static void
log_written (const char *service, GHashTable *versions, const char *base,
             struct GspanOutbox *outbox)
{
  json_t *list = gspan_version_set_encode (versions);
  char *text = json_dumps (list, JSON_COMPACT);
  struct GspanLine line;

  gspan_line_init (&line, "versions-kept");
  gspan_line_cstr (&line, "service", service);
  gspan_line_cstr (&line, "versions", text);
  gspan_line_cstr (&line, "base", base != NULL ? base : "");
  gspan_outbox_log (outbox, "streams", GSPAN_PRIORITY_NOTICE, &line);
  free (text);
  json_decref (list);
}

static void
on_written (struct GspanNode *node, const char *service, GHashTable *versions, const char *base,
            struct GspanOutbox *outbox)
{
  json_t *list = gspan_version_set_encode (versions);

  node->version_history.next_call_at = node->now + WRITE_EVERY_US;
  take_versions (node, service, list, base);
  json_decref (list);
  log_written (service, versions, base, outbox);
  tell_others (node, service, outbox);
}

static void
on_done (struct GspanNode *node, const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanVersionHistory *history = &node->version_history;
  char *service = g_steal_pointer (&history->service);
  GHashTable *writes = g_steal_pointer (&history->writes);
  char *base = g_steal_pointer (&history->writes_base);
  bool answered = reply->result == GSPAN_STORE_OK || reply->result == GSPAN_STORE_MISSING;

  history->call = 0;
  if (writes != NULL && reply->result == GSPAN_STORE_OK)
    on_written (node, service, writes, base, outbox);
  else if (writes == NULL && answered)
    on_read (node, service, reply, outbox);
  else if (writes == NULL)
    history->next_call_at = node->now + READ_RETRY_US;
  else if (reply->result != GSPAN_STORE_CONFLICT) /* another node has just written it */
    history->next_call_at = node->now + RETRY_US; /* and reads first */
  g_clear_pointer (&writes, g_hash_table_unref);
  g_free (base);
  g_free (service);
}

static void
look_if_due (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanVersionHistory *history = &node->version_history;

  if (!gspan_catalog_known (&node->catalog) || node->catalog.store_fails
      || node->now < history->next_look_at)
    return;
  history->next_look_at = node->now + LOOK_US;
  look (node, outbox);
}

void
gspan_version_history_note_new_version (struct GspanNode *node, struct GspanOutbox *outbox)
{
  node->version_history.next_look_at = 0;
  look_if_due (node, outbox);
}

void
gspan_version_history_handle (struct GspanNode *node, const struct GspanEvent *event,
                              struct GspanOutbox *outbox)
{
  struct GspanVersionHistory *history = &node->version_history;

  if (history->began_at == 0)
    history->began_at = node->now;
  if (event->kind == GSPAN_EVENT_STORE_DONE && history->call != 0 && event->ref.id == history->call)
    on_done (node, event->u.store.reply, outbox);
  look_if_due (node, outbox);
}
