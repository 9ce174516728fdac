#include "catalog/catalog.h"

#include "catalog/apply.h"
#include "catalog/outage.h"
#include "catalog/overdue.h"
#include "catalog/reading.h"
#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

enum
{
  WATCH_WAIT_MS = 10000,      /* bounds how long a connection that died unseen is waited for */
  SLOW_WATCH_WAIT_MS = 30000, /* of kinds that hardly change; the longest that the store takes */
  BACKOFF_DOUBLINGS = 3
};

/*
 * Jobs are listed now and then only: whoever runs a job tells those that would take it over
 * (jobs/owner.c). The list finds jobs that lost all of these at once.
 */
#define JOBS_PAUSE_US (25 * GSPAN_SECOND)

/*
 * How long another node is waited for that tells what is new (catalog/feed.h), before this one asks
 * for itself: at its start, a part of the time in which a leaving replica has to be left alone; for
 * kinds that no rule binds to a time, longer than a new holder of the lease takes.
 */
#define FIRST_WATCH_PERCENT 60
#define FEED_GONE_US (5 * GSPAN_SECOND)

#define WATCH_LATE_US (250 * GSPAN_MS) /* so long after its time a watch's answer comes late */
#define BACKOFF_FIRST_US (100 * GSPAN_MS)

/*
 * Changes of several replicas are gathered in one answer: over a part of the time in which a
 * leaving one has to be left alone, and for less where they decide what runs where.
 */
#define REPLICAS_PAUSE_PERCENT 60
#define REPLICAS_PAUSE_RUNNING_US (300 * GSPAN_MS)
#define REPLICAS_PAUSE_TELLING_US (200 * GSPAN_MS) /* as above, for all others as well */
#define NODES_PAUSE_US (GSPAN_SECOND)              /* all nodes register in the first second */

static void
replica_release (gpointer data)
{
  struct GspanReplica *replica = data;

  replica->removed = true;
  gspan_replica_unref (replica);
}

static void
follower_init (struct GspanFollower *follower, const char *kind, bool wanted)
{
  *follower = (struct GspanFollower){ 0 };
  follower->kind = kind;
  follower->wanted = wanted;
  gspan_known_objects_init (&follower->known);
  gspan_listing_init (&follower->listing);
}

void
gspan_catalog_init (struct GspanCatalog *catalog, bool follows_retirements)
{
  *catalog = (struct GspanCatalog){ 0 };
  follower_init (&catalog->followers[GSPAN_FOLLOW_CONFIG], gspan_wire_kind_config, true);
  follower_init (&catalog->followers[GSPAN_FOLLOW_REPLICAS], gspan_wire_kind_replicas, true);
  follower_init (&catalog->followers[GSPAN_FOLLOW_JOBS], GSPAN_JOBS_KIND, true);
  follower_init (&catalog->followers[GSPAN_FOLLOW_NODES], GSPAN_PEERS_KIND, true);
  follower_init (&catalog->followers[GSPAN_FOLLOW_RETIREMENTS], gspan_wire_kind_retirements,
                 follows_retirements);
  follower_init (&catalog->followers[GSPAN_FOLLOW_WEIGHTS], gspan_wire_kind_weight_versions, false);
  follower_init (&catalog->followers[GSPAN_FOLLOW_VERDICTS], GSPAN_VERDICTS_KIND, true);
  gspan_config_init (&catalog->config);
  gspan_leaving_init (&catalog->leaving);
  gspan_feed_init (&catalog->feed);
  gspan_odd_objects_init (&catalog->odd_objects);
  catalog->replicas = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, replica_release);
}

void
gspan_catalog_finish (struct GspanCatalog *catalog)
{
  for (guint i = 0; i < GSPAN_FOLLOW_COUNT; i++)
    {
      gspan_known_objects_finish (&catalog->followers[i].known);
      gspan_listing_finish (&catalog->followers[i].listing);
    }
  gspan_config_finish (&catalog->config);
  gspan_leaving_finish (&catalog->leaving);
  gspan_feed_finish (&catalog->feed);
  gspan_odd_objects_finish (&catalog->odd_objects);
  g_hash_table_unref (catalog->replicas);
  g_free (catalog->told_failed_by);
}

void
gspan_catalog_want (struct GspanCatalog *catalog, enum GspanFollowed which, bool wanted)
{
  struct GspanFollower *follower = &catalog->followers[which];

  if (follower->wanted == wanted)
    return;
  follower->wanted = wanted;
  follower->watching = false;
  follower->call = 0;
  follower->next_at = 0;
  gspan_listing_abandon (&follower->listing);
}

bool
gspan_catalog_known (const struct GspanCatalog *catalog)
{
  return catalog->config.number > 0 && catalog->followers[GSPAN_FOLLOW_REPLICAS].synced;
}

static bool
places_work (const struct GspanNode *node)
{
  return node->weights.lease.held || g_hash_table_size (node->runner.runs) > 0
         || g_hash_table_size (node->rewards.calls) > 0;
}

/* True where this node waits for changes of the replicas, else it lists them now and then. */
static bool
watches_replicas (const struct GspanNode *node)
{
  return gspan_feed_publishes (node) || places_work (node);
}

/* Until the next list of the replicas. */
static guint64
replicas_pause (const struct GspanNode *node)
{
  if (gspan_feed_publishes (node))
    return REPLICAS_PAUSE_TELLING_US;
  if (places_work (node))
    return REPLICAS_PAUSE_RUNNING_US;
  return node->limits.drain_notice_us * REPLICAS_PAUSE_PERCENT / 100;
}

guint64
gspan_catalog_replicas_age (const struct GspanCatalog *catalog, guint64 now)
{
  return catalog->replicas_as_of != 0 ? now - catalog->replicas_as_of : G_MAXUINT64;
}

guint64
gspan_catalog_proof_age (const struct GspanCatalog *catalog, guint64 now)
{
  return catalog->replicas_proven_at != 0 ? now - catalog->replicas_proven_at : 0;
}

/*
 * The next call is a list: a watch may wait in vain, on a dead connection or where its history is
 * gone. A list that is under way ends in any case, so that events which come faster than lists are
 * read can't keep them from being read.
 */
static void
stop_watching (struct GspanFollower *follower)
{
  if (!follower->watching)
    return;
  follower->call = 0;
  follower->watching = false;
}

void
gspan_catalog_receive_replicas (struct GspanNode *node, const struct GspanStoreReply *reply,
                                guint64 age_us, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[GSPAN_FOLLOW_REPLICAS];

  stop_watching (follower);
  node->catalog.replicas_source = GSPAN_SOURCE_FEED;
  node->catalog.replicas_as_of = node->now - MIN (node->now, age_us);
  gspan_reading_apply_events (node, GSPAN_FOLLOW_REPLICAS, reply, outbox);
  follower->next_at = node->catalog.replicas_as_of + replicas_pause (node);
}

void
gspan_catalog_want_replicas (struct GspanNode *node, guint64 since)
{
  struct GspanCatalog *catalog = &node->catalog;
  struct GspanFollower *follower = &catalog->followers[GSPAN_FOLLOW_REPLICAS];

  if (catalog->replicas_proven_at >= since)
    return;
  follower->wanted_since = MAX (follower->wanted_since, since);
  if (follower->call != 0 && !follower->watching)
    return;
  stop_watching (follower);
  follower->next_at = 0;
}

void
gspan_catalog_note_newest (struct GspanNode *node, enum GspanFollowed which, guint64 newest)
{
  struct GspanFollower *follower = &node->catalog.followers[which];
  bool missing = newest > follower->newest;

  if (missing && follower->fed_newest <= follower->newest)
    follower->missing_since = node->now;
  follower->fed_newest = newest;
  if (node->catalog.store_fails || !follower->synced)
    return;
  stop_watching (follower);
  if (missing)
    follower->next_at = node->now;
}

void
gspan_catalog_list_again (struct GspanCatalog *catalog)
{
  stop_watching (&catalog->followers[GSPAN_FOLLOW_CONFIG]);
  stop_watching (&catalog->followers[GSPAN_FOLLOW_REPLICAS]);
}

/* The follower that asks whether the store is back doesn't wait in an older watch. */
static void
start_probing (struct GspanCatalog *catalog)
{
  stop_watching (&catalog->followers[GSPAN_FOLLOW_CONFIG]);
}

void
gspan_catalog_probe_now (struct GspanCatalog *catalog, guint64 now)
{
  if (catalog->store_fails)
    catalog->followers[GSPAN_FOLLOW_CONFIG].next_at = now;
}

static void
back_off (struct GspanNode *node, struct GspanFollower *follower)
{
  struct GspanCatalog *catalog = &node->catalog;
  guint64 pause = BACKOFF_FIRST_US << MIN (catalog->failures, BACKOFF_DOUBLINGS);

  catalog->failures++;
  follower->next_at = node->now;
  /* A call that was sent into a cut says nothing of the time since other nodes are heard again. */
  if (follower->called_at < catalog->feed.heard_again_at)
    return;
  follower->next_at += pause / 2 + (guint64)g_rand_int_range (node->random, 0, (gint32)pause);
}

/* True where the answer took long to come, so that the next watch wouldn't begin right after it. */
static bool
came_late (const struct GspanNode *node, const struct GspanFollower *follower)
{
  return node->now > follower->called_at + follower->wait_us + WATCH_LATE_US;
}

/* Says what comes after the answer of a watch, which had events if TOLD. */
static void
plan_after_watch (struct GspanNode *node, enum GspanFollowed which, bool told)
{
  struct GspanFollower *follower = &node->catalog.followers[which];
  guint64 pause = 0;

  if (told && which == GSPAN_FOLLOW_REPLICAS)
    pause = replicas_pause (node);
  if (told && which == GSPAN_FOLLOW_NODES)
    pause = NODES_PAUSE_US;
  follower->watching = told && pause == 0 && !came_late (node, follower);
  follower->next_at = node->now + pause;
}

/* True where somebody waits for a list that is newer than what is known. */
static bool
is_wanted_now (const struct GspanNode *node, enum GspanFollowed which)
{
  return which == GSPAN_FOLLOW_REPLICAS
         && node->catalog.followers[which].wanted_since > node->catalog.replicas_proven_at;
}

/* Says what comes after a whole list. */
static void
plan_after_list (struct GspanNode *node, enum GspanFollowed which)
{
  struct GspanFollower *follower = &node->catalog.followers[which];

  follower->watching = !is_wanted_now (node, which);
  if (!follower->watching)
    return;
  if (which == GSPAN_FOLLOW_REPLICAS && !watches_replicas (node))
    {
      follower->watching = false;
      follower->next_at = node->now + replicas_pause (node);
    }
  if (which == GSPAN_FOLLOW_JOBS)
    {
      follower->watching = false;
      follower->next_at = node->now + JOBS_PAUSE_US / 2
                          + (guint64)g_rand_int_range (node->random, 0, (gint32)JOBS_PAUSE_US);
    }
}

static void
on_store_done (struct GspanNode *node, enum GspanFollowed which,
               const struct GspanStoreReply *reply, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[which];

  follower->call = 0;
  switch (reply->result)
    {
    case GSPAN_STORE_OK:
      if (which == GSPAN_FOLLOW_REPLICAS)
        {
          node->catalog.replicas_source
              = follower->watching ? GSPAN_SOURCE_WATCH : GSPAN_SOURCE_LIST;
          node->catalog.replicas_as_of = node->now;
        }
      if (follower->watching)
        {
          /* The revision of an empty answer proves nothing: the list that follows does. */
          if (reply->objects->len > 0)
            gspan_reading_take_events (node, which, reply, outbox);
          plan_after_watch (node, which, reply->objects->len > 0);
        }
      else if (gspan_reading_take_page (node, which, reply, outbox))
        plan_after_list (node, which);
      break;
    case GSPAN_STORE_GAP:
      follower->watching = false;
      break;
    case GSPAN_STORE_MISSING:
    case GSPAN_STORE_CONFLICT:
    case GSPAN_STORE_UNAVAILABLE:
    case GSPAN_STORE_UNKNOWN:
      if (follower->watching)
        {
          /* A watch may be cut at any time, with changes missed; the list shows them all. */
          follower->watching = false;
          break;
        }
      gspan_listing_abandon (&follower->listing);
      follower->in_doubt = false;
      back_off (node, follower);
      /* A call that was lost in an outage may end long after the store has come back. */
      if (follower->called_at <= node->catalog.store_ok_at)
        break;
      if (!node->catalog.store_fails && which != GSPAN_FOLLOW_CONFIG)
        start_probing (&node->catalog);
      gspan_outage_set (node, true, reply->result, outbox);
      break;
    }
}

/* True where another node says all that a call for WHICH would. */
static bool
is_fed (const struct GspanNode *node, enum GspanFollowed which)
{
  const struct GspanFollower *follower = &node->catalog.followers[which];

  if (!follower->synced)
    return false;
  switch (which)
    {
    case GSPAN_FOLLOW_REPLICAS:
      return gspan_feed_is_fresh (node);
    case GSPAN_FOLLOW_JOBS: /* lost jobs are looked for by the node that tells */
      return gspan_feed_is_heard (node);
    case GSPAN_FOLLOW_CONFIG:
    case GSPAN_FOLLOW_NODES:
    case GSPAN_FOLLOW_VERDICTS:
      return gspan_feed_is_heard (node) && follower->newest >= follower->fed_newest;
    case GSPAN_FOLLOW_RETIREMENTS:
    case GSPAN_FOLLOW_WEIGHTS:
    case GSPAN_FOLLOW_COUNT:
      break;
    }
  return false;
}

/* True while another node that tells what is new of WHICH may still be heard, or be replaced. */
static bool
waits_for_feed (const struct GspanNode *node, enum GspanFollowed which)
{
  const struct GspanFollower *follower = &node->catalog.followers[which];
  guint64 first_watch_us = node->limits.drain_notice_us * FIRST_WATCH_PERCENT / 100;

  if (!follower->synced || gspan_feed_publishes (node))
    return false;
  switch (which)
    {
    case GSPAN_FOLLOW_CONFIG:
    case GSPAN_FOLLOW_REPLICAS:
      return node->now < follower->synced_at + first_watch_us;
    case GSPAN_FOLLOW_JOBS:
    case GSPAN_FOLLOW_NODES:
    case GSPAN_FOLLOW_VERDICTS:
      return node->now < MAX (follower->synced_at, node->catalog.feed.heard_until) + FEED_GONE_US;
    case GSPAN_FOLLOW_RETIREMENTS:
    case GSPAN_FOLLOW_WEIGHTS:
    case GSPAN_FOLLOW_COUNT:
      break;
    }
  return false;
}

static bool
may_call (const struct GspanNode *node, enum GspanFollowed which)
{
  const struct GspanCatalog *catalog = &node->catalog;
  const struct GspanFollower *follower = &catalog->followers[which];

  if (!follower->wanted || follower->call != 0 || node->now < follower->next_at)
    return false;
  if (catalog->store_fails)
    return which == GSPAN_FOLLOW_CONFIG;
  if (is_wanted_now (node, which))
    return true;
  return !is_fed (node, which)
         && (follower->newest < follower->fed_newest || !waits_for_feed (node, which));
}

static guint
watch_wait_ms (const struct GspanNode *node, enum GspanFollowed which)
{
  if (node->catalog.store_fails) /* its first answer has to come soon */
    return 1;
  if (which == GSPAN_FOLLOW_NODES || which == GSPAN_FOLLOW_RETIREMENTS
      || which == GSPAN_FOLLOW_VERDICTS)
    return SLOW_WATCH_WAIT_MS;
  /* Bounds the time for which a silent connection hides that a replica leaves. */
  if (which == GSPAN_FOLLOW_REPLICAS
      || (gspan_feed_publishes (node) && which != GSPAN_FOLLOW_WEIGHTS))
    return gspan_feed_watch_ms (node);
  return WATCH_WAIT_MS;
}

static void
call_next (struct GspanNode *node, enum GspanFollowed which, struct GspanOutbox *outbox)
{
  struct GspanFollower *follower = &node->catalog.followers[which];
  struct GspanRef ref = { GSPAN_OWNER_CATALOG, gspan_node_next_id (node) };
  const char *after = follower->watching ? NULL : follower->listing.after;
  struct GspanStoreCall *call;

  if (!follower->watching && after == NULL)
    gspan_listing_begin (&follower->listing, node->now, node->wall_ms);
  follower->call = ref.id;
  follower->called_at = node->now;
  call = gspan_outbox_store (outbox, ref, follower->watching ? GSPAN_STORE_WATCH : GSPAN_STORE_LIST,
                             follower->kind, after);
  call->revision = follower->revision;
  call->wait_ms = watch_wait_ms (node, which);
  follower->wait_us = call->wait_ms * GSPAN_MS;
}

void
gspan_catalog_handle (struct GspanNode *node, const struct GspanEvent *event,
                      struct GspanOutbox *outbox)
{
  struct GspanCatalog *catalog = &node->catalog;

  if (event->kind == GSPAN_EVENT_STORE_DONE)
    {
      for (guint i = 0; i < GSPAN_FOLLOW_COUNT; i++)
        {
          if (catalog->followers[i].call == event->ref.id)
            on_store_done (node, i, event->u.store.reply, outbox);
        }
    }
  gspan_apply_remove_lapsed (node, outbox);
  gspan_leaving_tick (node, outbox);
  gspan_feed_tick (node, outbox);
  gspan_overdue_tick (node, outbox);
  for (guint i = 0; i < GSPAN_FOLLOW_COUNT; i++)
    {
      if (may_call (node, i))
        call_next (node, i, outbox);
    }
}
