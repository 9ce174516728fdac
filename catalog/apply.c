#include "catalog/apply.h"

#include "catalog/outage.h"
#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

enum
{
  MANY_LEAST = 3 /* replicas whose removal at once is taken for a lapse */
};

/* If most entries vanish at once, they have expired; live replicas register again within this. */
#define MANY_GRACE_US (2 * GSPAN_SECOND)

void
gspan_apply_config (struct GspanNode *node, const struct GspanStoreObject *object,
                    struct GspanOutbox *outbox)
{
  struct GspanCatalog *catalog = &node->catalog;
  struct GspanError error = { 0 };
  struct GspanConfig config;
  struct GspanLine line;

  if (object->removed || g_strcmp0 (object->name, "main") != 0)
    return;
  gspan_config_init (&config);
  if (!gspan_wire_read_config (object->spec, &config, &error))
    gspan_odd_objects_log (node, gspan_wire_kind_config, object, error.message, outbox);
  if (error.code != GSPAN_ERROR_NONE || config.number <= catalog->config.number)
    {
      gspan_config_finish (&config);
      return;
    }
  gspan_line_init (&line, "config-in-force");
  gspan_line_u64 (&line, "version", config.number);
  gspan_line_u64 (&line, "before", catalog->config.number);
  gspan_line_u64 (&line, "routes", config.routes->len);
  gspan_line_u64 (&line, "accounts", config.accounts.items->len);
  gspan_line_u64 (&line, "keys", g_hash_table_size (config.accounts.by_digest));
  gspan_line_u64 (&line, "keys_ignored", config.accounts.keys_ignored);
  gspan_line_u64 (&line, "revision", object->revision);
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_NOTICE, &line);
  gspan_config_finish (&catalog->config);
  catalog->config = config;
}

static const char *
state_of (const struct GspanReplica *replica)
{
  if (replica->entry_unusable)
    return "unusable";
  return gspan_replica_is_leaving (replica) ? "draining" : "ready";
}

static const char *
source_name (enum GspanReplicaSource source)
{
  switch (source)
    {
    case GSPAN_SOURCE_LIST:
      return "list";
    case GSPAN_SOURCE_WATCH:
      return "watch";
    case GSPAN_SOURCE_FEED:
      return "feed";
    }
  return "";
}

/* BEFORE: the state until now; empty where the replica wasn't known. */
static void
log_replica (const struct GspanNode *node, const struct GspanReplica *replica, const char *event,
             const char *before, guint64 revision, struct GspanOutbox *outbox)
{
  const struct GspanFollower *follower = &node->catalog.followers[GSPAN_FOLLOW_REPLICAS];
  struct GspanLine line;

  gspan_line_init (&line, event);
  gspan_line_cstr (&line, "upstream", replica->id);
  gspan_line_cstr (&line, "service", replica->service);
  gspan_line_cstr (&line, "address", replica->address);
  gspan_line_cstr (&line, "software", replica->software);
  gspan_line_cstr (&line, "state", state_of (replica));
  gspan_line_cstr (&line, "before", before);
  gspan_line_cstr (&line, "entry", replica->draining ? "draining" : "ready");
  gspan_line_cstr (&line, "source", source_name (node->catalog.replicas_source));
  gspan_line_u64 (&line, "age_us", gspan_catalog_replicas_age (&node->catalog, node->now));
  gspan_line_u64 (&line, "born", replica->born);
  gspan_line_u64 (&line, "open_there", replica->open);
  gspan_line_u64 (&line, "revision", revision);
  gspan_line_u64 (&line, "known_revision", follower->revision);
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_INFO, &line);
}

/* A replica that ends without draining first may have been crashed by a request. */
static void
note_end (struct GspanNode *node, const struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  if (!gspan_replica_is_leaving (replica))
    gspan_crash_reports_replica_ended (node, replica, outbox);
}

static void
drop_replica (struct GspanNode *node, struct GspanReplica *replica, struct GspanOutbox *outbox)
{
  note_end (node, replica, outbox);
  gspan_versions_note (node, replica->service, replica->software);
  g_hash_table_remove (node->catalog.replicas, replica->id);
}

/* Until when a replica whose entry is missing may be registered again; 0 where it is gone. */
static guint64
may_come_back_until (const struct GspanNode *node)
{
  const struct GspanCatalog *catalog = &node->catalog;
  bool many = catalog->many_removed && !gspan_outage_was_own (node);
  guint64 until = MAX (catalog->outage.lapse_until, many ? node->now + MANY_GRACE_US : 0);

  return until > node->now ? until : 0;
}

static void
remove_replica (struct GspanNode *node, struct GspanReplica *replica, guint64 revision,
                struct GspanOutbox *outbox)
{
  guint64 until = may_come_back_until (node);

  log_replica (node, replica, until != 0 ? "upstream-lapsed" : "upstream-gone", state_of (replica),
               revision, outbox);
  if (until != 0)
    replica->remove_at = until;
  else
    drop_replica (node, replica, outbox);
}

/* The struct for ID; a new one where the upstream started anew under its old id. */
static struct GspanReplica *
replica_of (struct GspanNode *node, const char *id, const struct GspanReplica *seen,
            struct GspanOutbox *outbox)
{
  struct GspanCatalog *catalog = &node->catalog;
  struct GspanReplica *replica = g_hash_table_lookup (catalog->replicas, id);

  if (replica != NULL && replica->born == seen->born
      && g_strcmp0 (replica->address, seen->address) == 0)
    return replica;
  if (replica != NULL && replica->born != seen->born)
    note_end (node, replica, outbox);
  replica = gspan_replica_new (id);
  g_hash_table_replace (catalog->replicas, replica->id, replica);
  return replica;
}

/* Another writer has put something else under the id of REPLICA, which may still be at work. */
static void
set_unusable (const struct GspanNode *node, struct GspanReplica *replica, guint64 revision,
              struct GspanOutbox *outbox)
{
  const char *before = state_of (replica);

  if (replica->entry_unusable)
    return;
  replica->entry_unusable = true;
  log_replica (node, replica, "upstream-state", before, revision, outbox);
}

void
gspan_apply_replica (struct GspanNode *node, const struct GspanStoreObject *object,
                     struct GspanOutbox *outbox)
{
  struct GspanReplica *known = g_hash_table_lookup (node->catalog.replicas, object->name);
  struct GspanReplica *seen = gspan_replica_new (object->name);
  struct GspanError error = { 0 };

  if (object->removed)
    {
      if (known != NULL && known->remove_at == 0)
        remove_replica (node, known, object->revision, outbox);
    }
  else if (!gspan_wire_read_replica (object->spec, seen, &error))
    {
      gspan_odd_objects_log (node, gspan_wire_kind_replicas, object, error.message, outbox);
      if (known != NULL)
        set_unusable (node, known, object->revision, outbox);
    }
  else
    {
      struct GspanReplica *replica;
      const char *before;
      bool changed;

      if (known != NULL) /* it may start anew as another version */
        gspan_versions_note (node, known->service, known->software);
      replica = replica_of (node, object->name, seen, outbox);
      changed = replica->address == NULL || replica->draining != seen->draining
                || replica->entry_unusable;
      before = replica->address != NULL ? state_of (replica) : "";
      if (replica->draining && !seen->draining)
        gspan_metrics_add (&node->metrics, GSPAN_METRIC_DRAINS_WITHDRAWN, 1);

      gspan_wire_read_replica (object->spec, replica, &error);
      gspan_leaving_note_entry (node, replica, object->status);
      replica->leaving = replica->leaving || gspan_leaving_has (&node->catalog.leaving, replica);
      replica->remove_at = 0;
      replica->entry_unusable = false;
      gspan_versions_note (node, replica->service, replica->software);
      if (changed)
        log_replica (node, replica, "upstream-state", before, object->revision, outbox);
    }
  gspan_replica_unref (seen);
}

bool
gspan_apply_is_many (const struct GspanNode *node, guint removed)
{
  return removed >= MANY_LEAST && removed * 2 >= g_hash_table_size (node->catalog.replicas);
}

bool
gspan_apply_removes_many (const struct GspanNode *node, const struct GspanStoreReply *reply)
{
  guint removed = 0;

  for (guint i = 0; i < reply->objects->len; i++)
    {
      const struct GspanStoreObject *object = g_ptr_array_index (reply->objects, i);

      removed += object->removed && g_hash_table_contains (node->catalog.replicas, object->name);
    }
  return gspan_apply_is_many (node, removed);
}

void
gspan_apply_remove_lapsed (struct GspanNode *node, struct GspanOutbox *outbox)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, node->catalog.replicas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct GspanReplica *replica = value;

      if (replica->remove_at == 0 || replica->remove_at > node->now)
        continue;
      log_replica (node, replica, "upstream-gone", state_of (replica), 0, outbox);
      note_end (node, replica, outbox);
      gspan_versions_note (node, replica->service, replica->software);
      g_hash_table_iter_remove (&iter);
    }
}
