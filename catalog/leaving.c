#include "catalog/leaving.h"

#include "common/clock.h"
#include "node/node.h"
#include "platform/wire.h"

#define KEPT_US (3600 * GSPAN_SECOND) /* far longer than a replica takes to leave */

struct Incarnation
{
  guint64 born;
  guint64 noted_at;
};

void
gspan_leaving_init (struct GspanLeaving *leaving)
{
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

void
gspan_leaving_note_entry (struct GspanNode *node, const struct GspanReplica *replica)
{
  /* of an entry that doesn't name its incarnation, only the last word is known */
  if (replica->born != 0 && !gspan_leaving_has (&node->catalog.leaving, replica))
    note (node, replica->id, replica->born);
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
