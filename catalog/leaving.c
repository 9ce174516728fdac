#include "catalog/leaving.h"

#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define KEPT_US (3600 * GSPAN_SECOND) /* far longer than a replica takes to leave */
#define WRITE_SPREAD_US                                                                            \
  (300 * GSPAN_MS)                        /* one of all nodes that know writes, the others see it  \
                                           */
#define WRITE_AGAIN_US (2 * GSPAN_SECOND) /* unless what was written is read by then */

struct Incarnation
{
  guint64 born;
  guint64 noted_at;
  bool in_entry;    /* announced by its entry */
  guint64 write_at; /* the store is told then, unless it has been; 0 is not at all */
};

void
gspan_leaving_init (struct GspanLeaving *leaving)
{
  leaving->has_writes = false;
  leaving->incarnations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gspan_leaving_finish (struct GspanLeaving *leaving)
{
  g_hash_table_unref (leaving->incarnations);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer user)
{
  const struct Incarnation *incarnation = value;
  const guint64 *now = user;

  (void)key;
  return incarnation->noted_at + KEPT_US < *now;
}

static void
log_leaving (const struct GspanNode *node, const struct GspanReplica *replica,
             struct GspanOutbox *outbox)
{
  struct GspanLine line;

  gspan_line_init (&line, "upstream-leaving");
  gspan_line_cstr (&line, "upstream", replica->id);
  gspan_line_cstr (&line, "service", replica->service);
  gspan_line_cstr (&line, "source", "answer");
  gspan_line_u64 (&line, "born", replica->born);
  gspan_line_u64 (&line, "open_there", replica->open);
  gspan_line_u64 (&line, "list_age_us", gspan_catalog_replicas_age (&node->catalog, node->now));
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_INFO, &line);
}

/* Time of birth of the latest incarnation of ID that has announced to leave; 0 if none has. */
static guint64
birth_of (GHashTable *incarnations, const char *id)
{
  const struct Incarnation *incarnation = g_hash_table_lookup (incarnations, id);

  return incarnation != NULL ? incarnation->born : 0;
}

static void
note (struct GspanNode *node, const char *id, guint64 born)
{
  GHashTable *incarnations = node->catalog.leaving.incarnations;
  struct Incarnation *incarnation = g_new0 (struct Incarnation, 1);

  incarnation->born = born;
  incarnation->noted_at = node->now;
  g_hash_table_foreach_remove (incarnations, is_old, &node->now);
  g_hash_table_replace (incarnations, g_strdup (id), incarnation);
}

guint64
gspan_leaving_kept_in (json_t *status)
{
  json_int_t born = json_integer_value (json_object_get (status, "leaving"));

  return born > 0 ? (guint64)born : 0;
}

json_t *
gspan_leaving_status (guint64 born)
{
  return json_pack ("{s:I}", "leaving", (json_int_t)born);
}

/*
 * When this node writes that REPLICA leaves; 0 is never. The node that tells the others does so as
 * it reads it, before all that know may die; where the entry was undone since, any node does.
 */
static guint64
write_time (const struct GspanNode *node, const struct GspanReplica *replica)
{
  if (gspan_feed_publishes (node))
    return node->now;
  if (replica->draining)
    return 0;
  return node->now + (guint64)g_rand_int_range (node->random, 0, (gint32)WRITE_SPREAD_US);
}

void
gspan_leaving_note_entry (struct GspanNode *node, const struct GspanReplica *replica,
                          json_t *status)
{
  struct GspanLeaving *leaving = &node->catalog.leaving;
  guint64 kept = gspan_leaving_kept_in (status);
  guint64 born = MAX (kept, replica->draining ? replica->born : 0);
  struct Incarnation *incarnation;

  if (born > birth_of (leaving->incarnations, replica->id))
    note (node, replica->id, born);
  incarnation = g_hash_table_lookup (leaving->incarnations, replica->id);
  if (incarnation == NULL)
    return;
  incarnation->in_entry = incarnation->in_entry || born == incarnation->born;
  incarnation->write_at = 0;
  if (incarnation->in_entry && incarnation->born == replica->born && kept != replica->born)
    incarnation->write_at = write_time (node, replica);
  leaving->has_writes = leaving->has_writes || incarnation->write_at != 0;
}

static void
write_status (struct GspanNode *node, const char *id, guint64 born, struct GspanOutbox *outbox)
{
  struct GspanRef ref = { GSPAN_OWNER_CATALOG, gspan_node_next_id (node) };
  struct GspanStoreCall *call
      = gspan_outbox_store (outbox, ref, GSPAN_STORE_SET_STATUS, gspan_wire_kind_replicas, id);
  struct GspanLine line;

  call->value = gspan_leaving_status (born);
  gspan_line_init (&line, "upstream-drain-kept");
  gspan_line_cstr (&line, "upstream", id);
  gspan_line_u64 (&line, "born", born);
  gspan_outbox_log (outbox, "catalog", GSPAN_PRIORITY_NOTICE, &line);
}

void
gspan_leaving_tick (struct GspanNode *node, struct GspanOutbox *outbox)
{
  struct GspanLeaving *leaving = &node->catalog.leaving;
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  if (!leaving->has_writes || node->catalog.store_fails)
    return;
  leaving->has_writes = false;
  g_hash_table_iter_init (&iter, leaving->incarnations);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      struct Incarnation *incarnation = value;

      if (!g_hash_table_contains (node->catalog.replicas, id))
        incarnation->write_at = 0;
      if (incarnation->write_at != 0 && incarnation->write_at <= node->now)
        {
          write_status (node, id, incarnation->born, outbox);
          incarnation->write_at = node->now + WRITE_AGAIN_US;
        }
      leaving->has_writes = leaving->has_writes || incarnation->write_at != 0;
    }
}

void
gspan_leaving_note_answer (struct GspanNode *node, struct GspanReplica *replica,
                           const struct GspanWireResponse *answer, struct GspanOutbox *outbox)
{
  GHashTable *incarnations = node->catalog.leaving.incarnations;
  guint64 born = MAX (replica->born, birth_of (incarnations, replica->id));
  struct GspanReplica *listed;

  /* a misdirected request is answered by another replica */
  if (!answer->leaving || answer->misdirected || replica->leaving)
    return;
  replica->leaving = true;
  note (node, replica->id, born);
  /* the entry may have expired and been registered again since the request was sent */
  listed = g_hash_table_lookup (node->catalog.replicas, replica->id);
  if (listed != NULL && gspan_leaving_has (&node->catalog.leaving, listed))
    listed->leaving = true;
  log_leaving (node, replica, outbox);
}

bool
gspan_leaving_has (const struct GspanLeaving *leaving, const struct GspanReplica *replica)
{
  const struct Incarnation *incarnation = g_hash_table_lookup (leaving->incarnations, replica->id);

  return incarnation != NULL && replica->born <= incarnation->born;
}
