#include "catalog/reading.h"

#include "catalog/apply.h"
#include "catalog/proof.h"
#include "node/node.h"
#include "platform/wire.h"

void
gspan_listing_init (struct GspanListing *listing)
{
  *listing = (struct GspanListing){ 0 };
  listing->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  listing->changed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_listing_finish (struct GspanListing *listing)
{
  g_free (listing->after);
  g_hash_table_unref (listing->names);
  g_hash_table_unref (listing->changed);
}

void
gspan_listing_begin (struct GspanListing *listing, guint64 now, gint64 wall_ms)
{
  listing->began_at = now;
  listing->began_wall_ms = wall_ms;
  g_hash_table_remove_all (listing->changed);
}

void
gspan_listing_abandon (struct GspanListing *listing)
{
  g_clear_pointer (&listing->after, g_free);
}

static bool
is_listing (const struct GspanFollower *follower)
{
  return !follower->watching && (follower->call != 0 || follower->listing.after != NULL);
}

/* Notes that the object NAME is known as of REVISION, whatever a list of before shows. */
static void
note_changed (struct GspanListing *listing, const char *name, guint64 revision)
{
  guint64 *value = g_new (guint64, 1);

  *value = revision;
  g_hash_table_replace (listing->changed, g_strdup (name), value);
}

/* True where the object NAME is known as of a later revision than that of the list. */
static bool
has_changed_since (const struct GspanListing *listing, const char *name)
{
  const guint64 *revision = g_hash_table_lookup (listing->changed, name);

  return revision != NULL && *revision > listing->revision;
}

/* True where OBJECT is of no use to any node: no replica has such a name. */
static bool
is_passed_over (enum GspanFollowed which, const struct GspanStoreObject *object)
{
  return which == GSPAN_FOLLOW_REPLICAS && !gspan_wire_is_replica_id (object->name);
}

static void
note_known (struct GspanFollower *follower, enum GspanFollowed which,
            const struct GspanStoreObject *object)
{
  if (is_passed_over (which, object))
    return;
  follower->newest_read = MAX (follower->newest_read, object->revision);
  if (object->removed)
    gspan_known_objects_remove (&follower->known, object->name);
  else
    gspan_known_objects_set (&follower->known, object->name, object->revision);
}

static void
apply (struct GspanNode *node, enum GspanFollowed which, const struct GspanStoreObject *object,
       struct GspanOutbox *outbox)
{
  note_known (&node->catalog.followers[which], which, object);
  switch (which)
    {
    case GSPAN_FOLLOW_CONFIG:
      gspan_apply_config (node, object, outbox);
      break;
    case GSPAN_FOLLOW_REPLICAS:
      gspan_apply_replica (node, object, outbox);
      break;
    case GSPAN_FOLLOW_JOBS:
      gspan_jobs_apply_head (node, object, outbox);
      break;
    case GSPAN_FOLLOW_NODES:
      gspan_peers_apply (node, object, outbox);
      break;
    case GSPAN_FOLLOW_RETIREMENTS:
      gspan_peers_apply_retirement (node, object, outbox);
      break;
    case GSPAN_FOLLOW_WEIGHTS:
      gspan_weights_apply (node, object, outbox);
      break;
    case GSPAN_FOLLOW_VERDICTS:
      gspan_verdicts_apply (node, object, outbox);
      break;
    case GSPAN_FOLLOW_COUNT:
      break;
    }
}

/* Of the other kinds, what follows from an object may have to be done again. */
static bool
is_state_alone (enum GspanFollowed which)
{
  return which == GSPAN_FOLLOW_CONFIG || which == GSPAN_FOLLOW_REPLICAS;
}

/*
 * Logs that OBJECT, which a list shows, is a change that was taken for known: it isn't newer than
 * the revision up to which all changes were, and hasn't been read.
 */
static void
note_missed_change (struct GspanNode *node, enum GspanFollowed which,
                    const struct GspanStoreObject *object, struct GspanOutbox *outbox)
{
  const struct GspanFollower *follower = &node->catalog.followers[which];
  guint64 known = gspan_known_objects_revision (&follower->known, object->name);
  struct GspanLine line;

  if (!follower->synced || which == GSPAN_FOLLOW_JOBS || is_passed_over (which, object)
      || object->revision <= known || object->revision > follower->revision)
    return;
  gspan_metrics_add (&node->metrics, GSPAN_METRIC_CHANGES_MISSED, 1);
  gspan_line_init (&line, "change-missed");
  gspan_line_cstr (&line, "kind", follower->kind);
  gspan_line_cstr (&line, "name", object->name);
  gspan_line_u64 (&line, "revision", object->revision);
  gspan_line_u64 (&line, "read_revision", known);
  gspan_line_u64 (&line, "known_revision", follower->revision);
  gspan_line_u64 (&line, "list_age_us", node->now - follower->listed_at);
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_WARNING, &line);
}

static void
take_listed (struct GspanNode *node, enum GspanFollowed which,
             const struct GspanStoreObject *object, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[which];
  struct GspanListing *listing = &follower->listing;
  guint64 known = gspan_known_objects_revision (&follower->known, object->name);
  bool is_read = known == object->revision && known != 0;

  g_hash_table_add (listing->names, g_strdup (object->name));
  listing->newest = MAX (listing->newest, object->revision);
  if (has_changed_since (listing, object->name))
    return;
  /* What was read of a list that was given up is beyond the revision that the others were told. */
  if (listing->tells_differences && (!is_read || object->revision > follower->revision))
    gspan_feed_note_change (node, object, MAX (listing->revision, object->revision));
  if (is_state_alone (which) && is_read)
    return;
  note_missed_change (node, which, object, outbox);
  apply (node, which, object, outbox);
}

/* Names that are known and that the whole list doesn't hold; the caller frees the list. */
static GList *
find_missing (const struct GspanFollower *follower)
{
  GList *names = gspan_known_objects_names (&follower->known);
  GList *missing = NULL;

  for (GList *item = names; item != NULL; item = item->next)
    {
      if (!g_hash_table_contains (follower->listing.names, item->data)
          && !has_changed_since (&follower->listing, item->data))
        missing = g_list_prepend (missing, g_strdup (item->data));
    }
  g_list_free (names);
  return missing;
}

static void
take_missing (struct GspanNode *node, enum GspanFollowed which, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[which];
  GList *missing = find_missing (follower);

  node->catalog.many_removed
      = which == GSPAN_FOLLOW_REPLICAS && gspan_apply_is_many (node, g_list_length (missing));
  for (GList *item = missing; item != NULL; item = item->next)
    {
      struct GspanStoreObject gone = { 0 };

      gone.name = item->data;
      gone.removed = true;
      if (follower->listing.tells_differences)
        gspan_feed_note_change (node, &gone, follower->listing.revision);
      apply (node, which, &gone, outbox);
    }
  node->catalog.many_removed = false;
  g_list_free_full (missing, g_free);
}

/*
 * True if the differences between a list of the replicas and what is known go on from what this
 * node has told the others, so that none of them has to read the list as well.
 */
static bool
continues_feed (const struct GspanNode *node, enum GspanFollowed which)
{
  return which == GSPAN_FOLLOW_REPLICAS && node->catalog.followers[which].synced
         && node->catalog.feed.publishing && gspan_feed_publishes (node);
}

static void
begin (struct GspanNode *node, enum GspanFollowed which, guint64 revision)
{
  struct GspanListing *listing = &node->catalog.followers[which].listing;

  g_hash_table_remove_all (listing->names);
  listing->revision = revision;
  listing->newest = 0;
  listing->tells_differences = continues_feed (node, which);
}

static void
finish (struct GspanNode *node, enum GspanFollowed which, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[which];
  const struct GspanListing *listing = &follower->listing;

  take_missing (node, which, outbox);
  if (!follower->synced)
    follower->synced_at = node->now;
  follower->synced = true;
  follower->in_doubt = false;
  follower->revision = MAX (follower->revision, listing->revision);
  if (which == GSPAN_FOLLOW_REPLICAS && !listing->tells_differences)
    gspan_feed_reset (&node->catalog.feed, follower->revision);
  follower->newest = MAX (follower->newest, listing->newest);
  follower->listed_at = listing->began_at;
  follower->listed_wall_ms = listing->began_wall_ms;
  if (which == GSPAN_FOLLOW_REPLICAS)
    gspan_proof_note (node, node->now - listing->began_at);
}

bool
gspan_reading_take_page (struct GspanNode *node, enum GspanFollowed which,
                         const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanListing *listing = &node->catalog.followers[which].listing;
  const struct GspanStoreObject *last = NULL;

  if (listing->after == NULL)
    begin (node, which, reply->revision);
  for (guint i = 0; i < reply->objects->len; i++)
    {
      last = g_ptr_array_index (reply->objects, i);
      take_listed (node, which, last, outbox);
    }
  g_clear_pointer (&listing->after, g_free);
  if (reply->has_more && last != NULL)
    {
      listing->after = g_strdup (last->name);
      return false;
    }
  finish (node, which, outbox);
  return true;
}

/* True where something newer of OBJECT is known: this comes from a list read meanwhile. */
static bool
is_outdated (const struct GspanFollower *follower, enum GspanFollowed which,
             const struct GspanStoreObject *object)
{
  return is_state_alone (which) && !object->removed
         && object->revision < gspan_known_objects_revision (&follower->known, object->name);
}

void
gspan_reading_apply_events (struct GspanNode *node, enum GspanFollowed which,
                            const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[which];

  node->catalog.many_removed
      = which == GSPAN_FOLLOW_REPLICAS && gspan_apply_removes_many (node, reply);
  for (guint i = 0; i < reply->objects->len; i++)
    {
      const struct GspanStoreObject *object = g_ptr_array_index (reply->objects, i);

      follower->newest = MAX (follower->newest, object->revision);
      if (is_listing (follower))
        note_changed (&follower->listing, object->name, MAX (reply->revision, object->revision));
      if (!is_outdated (follower, which, object))
        apply (node, which, object, outbox);
    }
  node->catalog.many_removed = false;
}

void
gspan_reading_take_events (struct GspanNode *node, enum GspanFollowed which,
                           const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[which];

  gspan_reading_apply_events (node, which, reply, outbox);
  if (which == GSPAN_FOLLOW_REPLICAS)
    gspan_feed_note (node, reply);
  follower->revision = MAX (follower->revision, reply->revision);
}
