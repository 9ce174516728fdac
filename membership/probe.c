#include "membership/probe.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rpc/codec.h"

#define PERIOD_US (1 * GSPAN_SECOND)
#define DIRECT_US (300 * GSPAN_MS)
#define STALL_US                                                                                   \
  (1 * GSPAN_SECOND) /* a longer gap between ticks means that this node was paused                 \
                      */
#define RELAY_LIFE_US (2 * GSPAN_SECOND)
#define SUSPICION_MIN_US (3 * GSPAN_SECOND)

enum
{
  INDIRECT = 3,       /* members asked to ping one that doesn't answer */
  FILL_ENTRIES = 2,   /* random entries in each datagram, so that a newcomer learns of everybody */
  OUTSIDE_ROUNDS = 8, /* every so many periods a dead member or a seed is pinged */
  RELAYS_MAX = 256
};

/* A ping on behalf of another member. */
struct Relay
{
  char *address; /* of who asked */
  guint32 sequence;
  guint64 until;
};

static void
relay_free (gpointer data)
{
  struct Relay *relay = data;

  g_free (relay->address);
  g_free (relay);
}

void
gspan_probe_init (struct GspanProbe *probe)
{
  memset (probe, 0, sizeof *probe);
  probe->forwarded_pings = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, relay_free);
}

void
gspan_probe_finish (struct GspanProbe *probe)
{
  g_hash_table_unref (probe->forwarded_pings);
  g_free (probe->target_name);
}

static void
log_state (struct GspanOutbox *outbox, const struct GspanMember *member)
{
  static const char *const names[] = { "alive", "suspect", "dead" };
  struct GspanLine line;

  gspan_line_init (&line, "member-state");
  gspan_line_cstr (&line, "member", member->name);
  gspan_line_cstr (&line, "state", names[member->state]);
  gspan_line_u64 (&line, "incarnation", member->incarnation);
  gspan_outbox_log (outbox, "membership", GSPAN_PRIORITY_NOTICE, &line);
}

static void
claim (struct GspanBoard *board, const gspan_member *entry, struct GspanOutbox *outbox)
{
  if (gspan_members_merge (&board->members, entry, board->now))
    log_state (outbox, gspan_members_find (&board->members, entry->name));
}

/* Strings are borrowed. */
static gspan_member
describe (const struct GspanMember *member)
{
  return (gspan_member){ member->name, member->zone,        member->udp,
                         member->rpc,  member->incarnation, member->state };
}

/* A draining node says itself that it is gone. */
static gspan_member
describe_self (const struct GspanBoard *board)
{
  return (gspan_member){
    (char *)board->self.name, (char *)board->self.zone,
    (char *)board->self.udp,  (char *)board->self.rpc,
    board->probe.incarnation, board->draining ? GSPAN_MEMBER_DEAD : GSPAN_MEMBER_ALIVE
  };
}

static bool
is_carried (const gspan_member *entries, guint count, const struct GspanMember *member)
{
  for (guint i = 0; i < count; i++)
    {
      if (entries[i].name == member->name)
        return true;
    }
  return false;
}

static struct GspanMember *
most_urgent (const struct GspanMembers *members, const gspan_member *entries, guint count)
{
  struct GspanMember *best = NULL;

  for (guint i = 0; i < members->items->len; i++)
    {
      struct GspanMember *member = g_ptr_array_index (members->items, i);

      if (member->gossip_sends_left > (best != NULL ? best->gossip_sends_left : 0)
          && !is_carried (entries, count, member))
        best = member;
    }
  return best;
}

/* FIRST, which may be NULL, goes before fresh entries, and these before random ones. */
static guint
fill_entries (struct GspanBoard *board, const struct GspanMember *first, gspan_member *entries)
{
  GPtrArray *items = board->members.items;
  struct GspanMember *member;
  guint count = 0;

  if (first != NULL)
    entries[count++] = describe (first);
  while (count < GSPAN_MAX_GOSSIP_MEMBERS
         && (member = most_urgent (&board->members, entries, count)) != NULL)
    {
      member->gossip_sends_left--;
      entries[count++] = describe (member);
    }
  for (guint i = 0; items->len > 0 && i < FILL_ENTRIES && count < FILL_ENTRIES; i++)
    {
      member = g_ptr_array_index (items,
                                  (guint)g_rand_int_range (board->random, 0, (gint32)items->len));
      if (!is_carried (entries, count, member))
        entries[count++] = describe (member);
    }
  return count;
}

static void
send_gossip (struct GspanBoard *board, const char *address, gspan_gossip *gossip,
             const struct GspanMember *first, struct GspanOutbox *outbox)
{
  gspan_member entries[GSPAN_MAX_GOSSIP_MEMBERS];
  GBytes *payload;
  struct GspanAction *action;

  if (gossip->target == NULL)
    gossip->target = "";
  gossip->sender = describe_self (board);
  gossip->complete = board->records.complete;
  gossip->digest = board->records.digest;
  gossip->members.members_len = fill_entries (board, first, entries);
  gossip->members.members_val = entries;
  payload = gspan_xdr_encode ((xdrproc_t)xdr_gspan_gossip, gossip);
  if (payload == NULL)
    return;
  action = gspan_outbox_add (outbox, GSPAN_ACTION_DATAGRAM,
                             (struct GspanRef){ GSPAN_OWNER_MEMBERS, 0 });
  action->u.datagram.address = g_strdup (address);
  action->u.datagram.payload = payload;
}

static guint32
ping (struct GspanBoard *board, const char *address, const struct GspanMember *member,
      struct GspanOutbox *outbox)
{
  gspan_gossip gossip = { .kind = GSPAN_GOSSIP_PING, .sequence = ++board->probe.sequence };

  /* A member that is held for suspect or dead has to hear it, so that it can object. */
  if (member != NULL && member->state == GSPAN_MEMBER_ALIVE)
    member = NULL;
  send_gossip (board, address, &gossip, member, outbox);
  return gossip.sequence;
}

static void
suspect (struct GspanBoard *board, const char *name, struct GspanOutbox *outbox)
{
  const struct GspanMember *member = gspan_members_find (&board->members, name);
  gspan_member entry;

  if (member == NULL || member->state != GSPAN_MEMBER_ALIVE)
    return;
  entry = describe (member);
  entry.state = GSPAN_MEMBER_SUSPECT;
  claim (board, &entry, outbox);
}

static void
end_probe (struct GspanBoard *board)
{
  g_clear_pointer (&board->probe.target_name, g_free);
}

static void
shuffle (struct GspanBoard *board)
{
  GPtrArray *items = board->members.items;

  for (guint i = items->len; i > 1; i--)
    {
      guint other = (guint)g_rand_int_range (board->random, 0, (gint32)i);
      gpointer item = items->pdata[i - 1];

      items->pdata[i - 1] = items->pdata[other];
      items->pdata[other] = item;
    }
}

/* The next member that is not dead; every live one once in a round. */
static const struct GspanMember *
next_member (struct GspanBoard *board)
{
  GPtrArray *items = board->members.items;

  for (guint i = 0; i < items->len; i++)
    {
      const struct GspanMember *member;

      if (board->probe.next_index >= items->len)
        {
          board->probe.next_index = 0;
          shuffle (board);
        }
      member = g_ptr_array_index (items, board->probe.next_index++);
      if (member->state != GSPAN_MEMBER_DEAD)
        return member;
    }
  return NULL;
}

static const struct GspanMember *
random_member (struct GspanBoard *board, bool dead)
{
  GPtrArray *items = board->members.items;
  guint start;

  if (items->len == 0)
    return NULL;
  start = (guint)g_rand_int_range (board->random, 0, (gint32)items->len);
  for (guint i = 0; i < items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (items, (start + i) % items->len);

      if ((member->state == GSPAN_MEMBER_DEAD) == dead)
        return member;
    }
  return NULL;
}

/* Pings one that is thought dead, or a seed: so do cut off parts of the fleet find back together.
 */
static void
ping_outside (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  const struct GspanMember *dead = random_member (board, true);
  char **seeds = g_strsplit (board->self.seeds, ",", -1);
  guint count = g_strv_length (seeds);

  if (dead != NULL && (count == 0 || g_rand_boolean (board->random)))
    ping (board, dead->udp, dead, outbox);
  else if (count > 0)
    ping (board, seeds[g_rand_int_range (board->random, 0, (gint32)count)], NULL, outbox);
  g_strfreev (seeds);
}

static void
start_period (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanProbe *probe = &board->probe;
  const struct GspanMember *member = next_member (board);

  probe->next_period_at_us = board->now + PERIOD_US;
  if (probe->target_name != NULL)
    suspect (board, probe->target_name, outbox);
  end_probe (board);
  if (member == NULL || ++probe->period_count % OUTSIDE_ROUNDS == 0)
    ping_outside (board, outbox);
  if (member == NULL)
    return;
  probe->target_name = g_strdup (member->name);
  probe->pinged_at_us = board->now;
  probe->indirect_pings_sent = false;
  probe->target_sequence = ping (board, member->udp, member, outbox);
}

static void
probe_indirectly (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanProbe *probe = &board->probe;
  const struct GspanMember *target = gspan_members_find (&board->members, probe->target_name);

  probe->indirect_pings_sent = true;
  for (guint i = 0; target != NULL && i < INDIRECT; i++)
    {
      const struct GspanMember *helper = random_member (board, false);
      gspan_gossip gossip = { .kind = GSPAN_GOSSIP_PING_REQUEST };

      if (helper == NULL || helper == target)
        continue;
      gossip.sequence = probe->target_sequence;
      gossip.target = target->udp;
      send_gossip (board, helper->udp, &gossip, NULL, outbox);
    }
}

static void
expire_suspects (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  guint64 life
      = SUSPICION_MIN_US + PERIOD_US * g_bit_storage (gspan_members_count_live (&board->members));

  for (guint i = 0; i < board->members.items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (board->members.items, i);
      gspan_member entry = describe (member);

      if (member->state != GSPAN_MEMBER_SUSPECT || board->now < member->state_since_us + life)
        continue;
      entry.state = GSPAN_MEMBER_DEAD;
      claim (board, &entry, outbox);
    }
}

/* A node that was paused has missed answers: it blames nobody for that time. */
static void
forgive (struct GspanBoard *board, guint64 gap_us)
{
  end_probe (board);
  for (guint i = 0; i < board->members.items->len; i++)
    {
      struct GspanMember *member = g_ptr_array_index (board->members.items, i);

      member->state_since_us += gap_us;
    }
}

static gboolean
is_over (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return ((struct Relay *)value)->until <= *(guint64 *)now;
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanProbe *probe = &board->probe;
  guint64 gap = probe->last_tick_at_us != 0 ? board->now - probe->last_tick_at_us : 0;

  probe->last_tick_at_us = board->now;
  if (gap > STALL_US)
    forgive (board, gap);
  if (board->now >= probe->next_period_at_us)
    {
      expire_suspects (board, outbox);
      gspan_members_remove_dead (&board->members, board->now);
      g_hash_table_foreach_remove (probe->forwarded_pings, is_over, &board->now);
      start_period (board, outbox);
    }
  else if (probe->target_name != NULL && !probe->indirect_pings_sent
           && board->now >= probe->pinged_at_us + DIRECT_US)
    probe_indirectly (board, outbox);
}

/* Raises the incarnation over what others say against this node. */
static void
defend (struct GspanBoard *board, const gspan_member *entry)
{
  bool worse = entry->state != GSPAN_MEMBER_ALIVE || entry->incarnation > board->probe.incarnation;

  if (worse && !board->draining && entry->incarnation >= board->probe.incarnation)
    board->probe.incarnation = entry->incarnation + 1;
}

static void
take_entries (struct GspanBoard *board, const gspan_gossip *gossip, struct GspanOutbox *outbox)
{
  claim (board, &gossip->sender, outbox);
  for (guint i = 0; i < gossip->members.members_len; i++)
    {
      const gspan_member *entry = &gossip->members.members_val[i];

      if (strcmp (entry->name, board->self.name) == 0)
        defend (board, entry);
      else
        claim (board, entry, outbox);
    }
}

static void
note_heard (struct GspanBoard *board, const gspan_gossip *gossip)
{
  struct GspanMember *member = gspan_members_find (&board->members, gossip->sender.name);

  if (member == NULL || gossip->sender.incarnation < member->incarnation)
    return;
  member->last_datagram_at_us = board->now;
  member->records_revision = gossip->complete;
  member->records_digest = gossip->digest;
}

/* What the sender has to hear of itself, or NULL. */
static const struct GspanMember *
objection (const struct GspanBoard *board, const gspan_member *sender)
{
  const struct GspanMember *member = gspan_members_find (&board->members, sender->name);

  if (member == NULL || sender->state == GSPAN_MEMBER_DEAD)
    return NULL;
  if (member->state == GSPAN_MEMBER_ALIVE && member->incarnation <= sender->incarnation)
    return NULL;
  return member;
}

static void
acknowledge (struct GspanBoard *board, const char *address, guint32 sequence,
             const struct GspanMember *first, struct GspanOutbox *outbox)
{
  gspan_gossip gossip = { .kind = GSPAN_GOSSIP_ACK, .sequence = sequence };

  send_gossip (board, address, &gossip, first, outbox);
}

static void
on_ping_request (struct GspanBoard *board, const gspan_gossip *gossip, struct GspanOutbox *outbox)
{
  struct Relay *relay;
  guint32 sequence;

  if (g_hash_table_size (board->probe.forwarded_pings) >= RELAYS_MAX)
    return;
  sequence = ping (board, gossip->target, NULL, outbox);
  relay = g_new0 (struct Relay, 1);
  relay->address = g_strdup (gossip->sender.udp);
  relay->sequence = gossip->sequence;
  relay->until = board->now + RELAY_LIFE_US;
  g_hash_table_replace (board->probe.forwarded_pings, GUINT_TO_POINTER (sequence), relay);
}

static void
on_ack (struct GspanBoard *board, guint32 sequence, struct GspanOutbox *outbox)
{
  const struct Relay *relay
      = g_hash_table_lookup (board->probe.forwarded_pings, GUINT_TO_POINTER (sequence));

  if (board->probe.target_name != NULL && sequence == board->probe.target_sequence)
    end_probe (board);
  if (relay == NULL)
    return;
  acknowledge (board, relay->address, relay->sequence, NULL, outbox);
  g_hash_table_remove (board->probe.forwarded_pings, GUINT_TO_POINTER (sequence));
}

static void
on_gossip (struct GspanBoard *board, const gspan_gossip *gossip, struct GspanOutbox *outbox)
{
  const gspan_member *sender = &gossip->sender;

  if (strcmp (sender->name, board->self.name) == 0)
    return;
  take_entries (board, gossip, outbox);
  note_heard (board, gossip);
  switch (gossip->kind)
    {
    case GSPAN_GOSSIP_PING:
      acknowledge (board, sender->udp, gossip->sequence, objection (board, sender), outbox);
      break;
    case GSPAN_GOSSIP_ACK:
      on_ack (board, gossip->sequence, outbox);
      break;
    case GSPAN_GOSSIP_PING_REQUEST:
      on_ping_request (board, gossip, outbox);
      break;
    }
}

static void
on_datagram (struct GspanBoard *board, struct GspanStr payload, struct GspanOutbox *outbox)
{
  gspan_gossip gossip;

  memset (&gossip, 0, sizeof gossip);
  if (gspan_xdr_decode ((xdrproc_t)xdr_gspan_gossip, &gossip, payload, NULL))
    on_gossip (board, &gossip, outbox);
  xdr_free ((xdrproc_t)xdr_gspan_gossip, &gossip);
}

void
gspan_probe_handle (struct GspanBoard *board, const struct GspanEvent *event,
                    struct GspanOutbox *outbox)
{
  if (board->self.udp[0] == '\0')
    return;
  if (event->kind == GSPAN_EVENT_TICK)
    on_tick (board, outbox);
  else if (event->kind == GSPAN_EVENT_DATAGRAM)
    on_datagram (board, event->u.datagram.payload, outbox);
}
