#include "catalog/feed.h"

#include <string.h>

#include "catalog/outage.h"
#include "catalog/proof.h"
#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define TELL_US (300 * GSPAN_MS)        /* between two words without a change */
#define TELL_CHANGE_US (100 * GSPAN_MS) /* changes of so long go out together */
#define KEPT_US (1500 * GSPAN_MS)       /* a change is told again for so long; datagrams get lost */

enum
{
  CHANGES_MAX = 24,
  CHANGES_LEN_MAX = 12000, /* a receiver takes 16 KB, with the lease and the revisions */
  CHANGE_LEN = 128,        /* of a change without its name and its entry */
  SPEC_LEN_MAX = 1000,     /* of an entry that is told as it is */
  WATCH_PERCENT = 40,      /* of the time in which a leaving replica has to be left alone */
  RECENT_PERCENT = 75,     /* of the same: what was read before isn't relied on */
  FEED_VERSION = 1
};

struct GspanFeedChange
{
  guint64 at;
  guint64 revision;        /* of the answer that showed it */
  guint64 object_revision; /* of the entry itself */
  char *name;
  json_t *spec;    /* NULL where it was removed */
  guint64 leaving; /* birth of the incarnation that the status keeps as leaving; 0 is none */
  size_t len;      /* bytes that it takes in a message */
};

static void
change_free (gpointer data)
{
  struct GspanFeedChange *change = data;

  g_free (change->name);
  json_decref (change->spec);
  g_free (change);
}

void
gspan_feed_init (struct GspanFeed *feed)
{
  *feed = (struct GspanFeed){ 0 };
  feed->changes = g_ptr_array_new_with_free_func (change_free);
}

void
gspan_feed_finish (struct GspanFeed *feed)
{
  g_ptr_array_unref (feed->changes);
}

static void
drop_oldest (struct GspanFeed *feed)
{
  const struct GspanFeedChange *oldest = g_ptr_array_index (feed->changes, 0);

  feed->complete_from = MAX (feed->complete_from, oldest->revision);
  feed->changes_len -= oldest->len;
  g_ptr_array_remove_index (feed->changes, 0);
}

static void
trim (struct GspanFeed *feed, guint64 now)
{
  while (feed->changes->len > 0)
    {
      const struct GspanFeedChange *oldest = g_ptr_array_index (feed->changes, 0);

      if (feed->changes->len <= CHANGES_MAX && feed->changes_len <= CHANGES_LEN_MAX
          && oldest->at + KEPT_US >= now)
        return;
      drop_oldest (feed);
    }
}

void
gspan_feed_reset (struct GspanFeed *feed, guint64 revision)
{
  g_ptr_array_set_size (feed->changes, 0);
  feed->changes_len = 0;
  feed->complete_from = revision;
}

static size_t
length_of (json_t *value)
{
  return json_dumpb (value, NULL, 0, JSON_COMPACT);
}

/* What the others are told of the entry OBJECT, whatever else its writer has put into it. */
static json_t *
spec_to_tell (const struct GspanStoreObject *object)
{
  struct GspanReplica *replica = gspan_replica_new (object->name);
  json_t *spec;

  if (!gspan_wire_read_replica (object->spec, replica, NULL))
    spec = json_object ();
  else if (length_of (object->spec) <= SPEC_LEN_MAX)
    spec = json_incref (object->spec);
  else
    spec = gspan_wire_copy_replica (object->spec);
  gspan_replica_unref (replica);
  return spec;
}

void
gspan_feed_note_change (struct GspanNode *node, const struct GspanStoreObject *object,
                        guint64 revision)
{
  struct GspanFeed *feed = &node->catalog.feed;
  struct GspanFeedChange *change;

  /* No node has a replica of such a name. */
  if (!gspan_wire_is_replica_id (object->name))
    return;
  change = g_new0 (struct GspanFeedChange, 1);
  change->at = node->now;
  change->revision = revision;
  change->object_revision = object->revision;
  change->leaving = gspan_leaving_kept_in (object->status);
  change->name = g_strdup (object->name);
  change->spec = object->removed ? NULL : spec_to_tell (object);
  change->len = CHANGE_LEN + 2 * strlen (change->name) + length_of (change->spec);
  feed->changes_len += change->len;
  g_ptr_array_add (feed->changes, change);
}

void
gspan_feed_note (struct GspanNode *node, const struct GspanStoreReply *reply)
{
  struct GspanFeed *feed = &node->catalog.feed;

  if (!gspan_feed_publishes (node))
    {
      gspan_feed_reset (feed, reply->revision);
      return;
    }
  for (guint i = 0; i < reply->objects->len; i++)
    gspan_feed_note_change (node, g_ptr_array_index (reply->objects, i), reply->revision);
  trim (feed, node->now);
}

bool
gspan_feed_publishes (const struct GspanNode *node)
{
  return node->weights.lease.held && node->now < node->weights.lease.held_until;
}

guint
gspan_feed_watch_ms (const struct GspanNode *node)
{
  return (guint)(node->limits.drain_notice_us / GSPAN_MS * WATCH_PERCENT / 100);
}

bool
gspan_feed_is_heard (const struct GspanNode *node)
{
  return !gspan_feed_publishes (node) && node->now < node->catalog.feed.heard_until;
}

bool
gspan_feed_is_fresh (const struct GspanNode *node)
{
  return !gspan_feed_publishes (node) && node->now < node->catalog.feed.fresh_until;
}

/* Since the older of the two last lists that the message rests on; a suspended VM counts too. */
static guint64
age_of (const struct GspanNode *node)
{
  const struct GspanFollower *replicas = &node->catalog.followers[GSPAN_FOLLOW_REPLICAS];
  const struct GspanFollower *config = &node->catalog.followers[GSPAN_FOLLOW_CONFIG];
  guint64 oldest = MIN (replicas->listed_at, config->listed_at);
  gint64 wall_ms = node->wall_ms - MIN (replicas->listed_wall_ms, config->listed_wall_ms);

  return MAX (node->now - oldest, (guint64)MAX (0, wall_ms) * GSPAN_MS);
}

static json_t *
encode (const struct GspanFeedChange *change)
{
  return json_pack ("{s:s, s:I, s:I, s:I, s:O?}", "name", change->name, "revision",
                    (json_int_t)change->revision, "object", (json_int_t)change->object_revision,
                    "leaving", (json_int_t)change->leaving, "spec", change->spec);
}

static json_t *
changes_of (const struct GspanFeed *feed)
{
  json_t *changes = json_array ();

  for (guint i = 0; i < feed->changes->len; i++)
    json_array_append_new (changes, encode (g_ptr_array_index (feed->changes, i)));
  return changes;
}

void
gspan_feed_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  const struct GspanCatalog *catalog = &node->catalog;
  const struct GspanFollower *replicas = &catalog->followers[GSPAN_FOLLOW_REPLICAS];
  struct GspanFeed *feed = &node->catalog.feed;
  guint64 pause = replicas->revision != feed->published_revision ? TELL_CHANGE_US : TELL_US;
  guint64 failed_at = catalog->store_failed_at;
  guint64 lapse_until = catalog->outage.lapse_until;
  json_t *message;

  if (!gspan_feed_publishes (node))
    {
      feed->publishing = false;
      return;
    }
  if (!feed->publishing)
    gspan_catalog_list_again (&node->catalog);
  feed->publishing = true;
  if (!replicas->synced || node->now < feed->published_at + pause)
    return;
  trim (feed, node->now);
  message = json_pack ("{s:s, s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:O?}", "kind", "feed",
                       "format", FEED_VERSION, "age_us", (json_int_t)age_of (node), "config",
                       (json_int_t)catalog->followers[GSPAN_FOLLOW_CONFIG].newest, "nodes",
                       (json_int_t)catalog->followers[GSPAN_FOLLOW_NODES].newest, "verdicts",
                       (json_int_t)catalog->followers[GSPAN_FOLLOW_VERDICTS].newest, "from",
                       (json_int_t)feed->complete_from, "to", (json_int_t)replicas->revision,
                       "changes", changes_of (feed), "lease", node->weights.lease.written);
  if (failed_at != 0)
    json_object_set_new (message, "failed_us", json_integer ((json_int_t)(node->now - failed_at)));
  if (lapse_until > node->now)
    json_object_set_new (message, "lapse_us", json_integer ((json_int_t)(lapse_until - node->now)));
  json_object_set_new (message, "digest",
                       gspan_proof_has_digest (catalog)
                           ? json_integer ((json_int_t)replicas->known.digest)
                           : json_null ());
  json_object_set_new (message, "served_us",
                       json_integer ((json_int_t)gspan_outage_served_us (catalog, node->now)));
  json_object_set_new (message, "lease_revision",
                       json_integer ((json_int_t)node->weights.lease.revision));
  gspan_peers_send_all (node, message, outbox);
  json_decref (message);
  feed->published_at = node->now;
  feed->published_revision = replicas->revision;
}

static guint64
number_of (json_t *message, const char *key)
{
  return (guint64)json_integer_value (json_object_get (message, key));
}

/* Takes in the changes after what is known here. False where some are missing. */
static bool
take_changes (struct GspanNode *node, json_t *message, guint64 age_us, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[GSPAN_FOLLOW_REPLICAS];
  guint64 known = follower->revision;
  struct GspanStoreReply reply;
  json_t *change;
  size_t index;

  if (!follower->synced || follower->in_doubt || number_of (message, "from") > known)
    return false;
  gspan_store_reply_init (&reply);
  reply.revision = number_of (message, "to");
  json_array_foreach (json_object_get (message, "changes"), index, change)
  {
    const char *name = json_string_value (json_object_get (change, "name"));
    json_t *spec = json_object_get (change, "spec");
    struct GspanStoreObject *object;

    if (name == NULL || number_of (change, "revision") <= known)
      continue;
    object = gspan_store_reply_add (&reply);
    object->name = g_strdup (name);
    /* builds before this one tell that of the answer only */
    object->revision = number_of (change, "object");
    if (object->revision == 0)
      object->revision = number_of (change, "revision");
    object->removed = !json_is_object (spec);
    object->spec = object->removed ? NULL : json_incref (spec);
    object->status = gspan_leaving_status (number_of (change, "leaving"));
  }
  gspan_catalog_receive_replicas (node, &reply, age_us, outbox);
  gspan_store_reply_finish (&reply);
  return true;
}

/*
 * Compares what is known with what the node that tells knows. A list may have shown it less than
 * all changes: of what came and went between, it knows nothing, and this node may.
 */
static enum GspanComparison
compare (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  json_t *digest = json_object_get (message, "digest");

  if (digest == NULL) /* a build before this one */
    return GSPAN_COMPARISON_SAME;
  if (!json_is_integer (digest))
    return GSPAN_COMPARISON_NONE;
  return gspan_proof_compare (node, number_of (message, "to"), (guint64)json_integer_value (digest),
                              outbox);
}

/* A node that was cut off from the others hears them: the store may be there again as well. */
static void
note_heard_again (struct GspanNode *node)
{
  node->catalog.feed.heard_again_at = node->now;
  gspan_catalog_probe_now (&node->catalog, node->now);
}

void
gspan_feed_receive (struct GspanNode *node, json_t *message, struct GspanOutbox *outbox)
{
  struct GspanCatalog *catalog = &node->catalog;
  guint64 recent = node->limits.drain_notice_us * RECENT_PERCENT / 100;
  guint64 age = number_of (message, "age_us");

  if (number_of (message, "format") != FEED_VERSION || age >= recent || gspan_feed_publishes (node))
    return;
  gspan_order_lease_receive (node, json_object_get (message, "lease"),
                             number_of (message, "lease_revision"), outbox);
  gspan_catalog_note_newest (node, GSPAN_FOLLOW_CONFIG, number_of (message, "config"));
  gspan_catalog_note_newest (node, GSPAN_FOLLOW_NODES, number_of (message, "nodes"));
  gspan_catalog_note_newest (node, GSPAN_FOLLOW_VERDICTS, number_of (message, "verdicts"));
  if (json_object_get (message, "failed_us") != NULL)
    gspan_outage_note_told_failure (
        catalog, json_string_value (json_object_get (json_object_get (message, "lease"), "holder")),
        node->now - MIN (node->now, number_of (message, "failed_us")));
  catalog->outage.lapse_until = MAX (catalog->outage.lapse_until,
                                     node->now + MIN (recent, number_of (message, "lapse_us")));
  if (json_object_get (message, "served_us") != NULL) /* builds before this one don't tell */
    gspan_outage_note_told_service (node, number_of (message, "served_us"));
  if (node->now >= catalog->feed.heard_until)
    note_heard_again (node);
  catalog->feed.heard_until = node->now + recent - age;
  if (!take_changes (node, message, age, outbox))
    return;
  catalog->feed.fresh_until = catalog->feed.heard_until;
  switch (compare (node, message, outbox))
    {
    case GSPAN_COMPARISON_SAME:
      gspan_proof_claim (node, number_of (message, "to"));
      break;
    case GSPAN_COMPARISON_DIFFERENT:
      catalog->feed.fresh_until = 0;
      break;
    case GSPAN_COMPARISON_NONE:
      break;
    }
}
