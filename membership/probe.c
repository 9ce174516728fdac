#include "membership/probe.h"

#include <string.h>

#include "board/board.h"
#include "common/clock.h"
#include "rpc/codec.h"

#define PROBE_PERIOD_US (1 * GSPAN_SECOND)
#define DIRECT_PING_TIMEOUT_US (300 * GSPAN_MS)
#define PAUSE_THRESHOLD_US (1 * GSPAN_SECOND) /* gap between ticks: this node was paused */
#define FORWARDED_PING_TTL_US (2 * GSPAN_SECOND)
#define SUSPICION_TIMEOUT_MIN_US (3 * GSPAN_SECOND)

enum
{
  INDIRECT_PINGS = 3, /* members asked to ping a target that has not answered */
  RANDOM_ENTRIES = 2, /* datagrams are filled up to these, so that a new member learns of all */
  REJOIN_PERIODS = 8, /* every so many periods a dead member or a seed is pinged too */
  FORWARDED_PINGS_MAX = 256
};

/* A ping that was sent at the request of another member. */
struct ForwardedPing
{
  char *requester;  /* UDP address of the member that asked for the ping */
  guint32 sequence; /* of the request, for the acknowledgement */
  guint64 expires_at_us;
};

static void
forwarded_ping_free (gpointer data)
{
  struct ForwardedPing *forwarded = data;

  g_free (forwarded->requester);
  g_free (forwarded);
}

void
gspan_probe_init (struct GspanProbe *probe)
{
  memset (probe, 0, sizeof *probe);
  probe->forwarded_pings
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, forwarded_ping_free);
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
merge_entry (struct GspanBoard *board, const gspan_member *entry, struct GspanOutbox *outbox)
{
  if (gspan_members_merge (&board->members, entry, board->now))
    log_state (outbox, gspan_members_find (&board->members, entry->name));
}

/* The gossip entry of MEMBER, whose strings it borrows. */
static gspan_member
entry_of (const struct GspanMember *member)
{
  return (gspan_member){ member->name, member->zone,        member->udp,
                         member->rpc,  member->incarnation, member->state };
}

/* The gossip entry of this node; a draining node declares itself dead, to leave at once. */
static gspan_member
entry_of_self (const struct GspanBoard *board)
{
  return (gspan_member){
    (char *)board->self.name, (char *)board->self.zone,
    (char *)board->self.udp,  (char *)board->self.rpc,
    board->probe.incarnation, board->draining ? GSPAN_MEMBER_DEAD : GSPAN_MEMBER_ALIVE
  };
}

static bool
is_included (const gspan_member *entries, guint count, const struct GspanMember *member)
{
  for (guint i = 0; i < count; i++)
    {
      if (entries[i].name == member->name)
        return true;
    }
  return false;
}

static struct GspanMember *
next_to_gossip (const struct GspanMembers *members, const gspan_member *entries, guint count)
{
  struct GspanMember *most_sends_left = NULL;

  for (guint i = 0; i < members->items->len; i++)
    {
      struct GspanMember *member = g_ptr_array_index (members->items, i);

      if (member->gossip_sends_left
              > (most_sends_left != NULL ? most_sends_left->gossip_sends_left : 0)
          && !is_included (entries, count, member))
        most_sends_left = member;
    }
  return most_sends_left;
}

/*
 * Fills a datagram with entries: PRIORITY_MEMBER, which may be NULL, then entries that changed
 * recently, then random ones.
 */
static guint
fill_entries (struct GspanBoard *board, const struct GspanMember *priority_member,
              gspan_member *entries)
{
  GPtrArray *items = board->members.items;
  struct GspanMember *member;
  guint count = 0;

  if (priority_member != NULL)
    entries[count++] = entry_of (priority_member);
  while (count < GSPAN_MAX_GOSSIP_MEMBERS
         && (member = next_to_gossip (&board->members, entries, count)) != NULL)
    {
      member->gossip_sends_left--;
      entries[count++] = entry_of (member);
    }
  for (guint i = 0; items->len > 0 && i < RANDOM_ENTRIES && count < RANDOM_ENTRIES; i++)
    {
      member = g_ptr_array_index (items,
                                  (guint)g_rand_int_range (board->random, 0, (gint32)items->len));
      if (!is_included (entries, count, member))
        entries[count++] = entry_of (member);
    }
  return count;
}

static void
send_gossip (struct GspanBoard *board, const char *address, gspan_gossip *gossip,
             const struct GspanMember *priority_member, struct GspanOutbox *outbox)
{
  gspan_member entries[GSPAN_MAX_GOSSIP_MEMBERS];
  GBytes *payload;
  struct GspanAction *action;

  if (gossip->target == NULL)
    gossip->target = "";
  gossip->sender = entry_of_self (board);
  gossip->complete = board->records.complete;
  gossip->digest = board->records.digest;
  gossip->members.members_len = fill_entries (board, priority_member, entries);
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

  /* A suspect or dead member gets its own entry with the ping, so that it can refute it. */
  if (member != NULL && member->state == GSPAN_MEMBER_ALIVE)
    member = NULL;
  send_gossip (board, address, &gossip, member, outbox);
  return gossip.sequence;
}

static void
mark_suspect (struct GspanBoard *board, const char *name, struct GspanOutbox *outbox)
{
  const struct GspanMember *member = gspan_members_find (&board->members, name);
  gspan_member entry;

  if (member == NULL || member->state != GSPAN_MEMBER_ALIVE)
    return;
  entry = entry_of (member);
  entry.state = GSPAN_MEMBER_SUSPECT;
  merge_entry (board, &entry, outbox);
}

static void
finish_probe (struct GspanBoard *board)
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

/* The next member to be probed; each one that is not dead comes once in a pass over the table. */
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

/* Pings a dead member or a seed, so that parts of the fleet merge after a network partition. */
static void
ping_dead_member_or_seed (struct GspanBoard *board, struct GspanOutbox *outbox)
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

  probe->next_period_at_us = board->now + PROBE_PERIOD_US;
  if (probe->target_name != NULL)
    mark_suspect (board, probe->target_name, outbox);
  finish_probe (board);
  if (member == NULL || ++probe->period_count % REJOIN_PERIODS == 0)
    ping_dead_member_or_seed (board, outbox);
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
  for (guint i = 0; target != NULL && i < INDIRECT_PINGS; i++)
    {
      const struct GspanMember *intermediary = random_member (board, false);
      gspan_gossip gossip = { .kind = GSPAN_GOSSIP_PING_REQUEST };

      if (intermediary == NULL || intermediary == target)
        continue;
      gossip.sequence = probe->target_sequence;
      gossip.target = target->udp;
      send_gossip (board, intermediary->udp, &gossip, NULL, outbox);
    }
}

static void
expire_suspects (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  guint64 suspicion_timeout_us
      = SUSPICION_TIMEOUT_MIN_US
        + PROBE_PERIOD_US * g_bit_storage (gspan_members_count_live (&board->members));

  for (guint i = 0; i < board->members.items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (board->members.items, i);
      gspan_member entry = entry_of (member);

      if (member->state != GSPAN_MEMBER_SUSPECT
          || board->now < member->state_since_us + suspicion_timeout_us)
        continue;
      entry.state = GSPAN_MEMBER_DEAD;
      merge_entry (board, &entry, outbox);
    }
}

/*
 * A node that was paused has missed replies: it drops the current probe, and the pause doesn't
 * count towards the suspicion timeout of any member.
 */
static void
discount_pause (struct GspanBoard *board, guint64 pause_us)
{
  finish_probe (board);
  for (guint i = 0; i < board->members.items->len; i++)
    {
      struct GspanMember *member = g_ptr_array_index (board->members.items, i);

      member->state_since_us += pause_us;
    }
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  return ((struct ForwardedPing *)value)->expires_at_us <= *(guint64 *)now;
}

static void
on_tick (struct GspanBoard *board, struct GspanOutbox *outbox)
{
  struct GspanProbe *probe = &board->probe;
  guint64 since_last_tick_us
      = probe->last_tick_at_us != 0 ? board->now - probe->last_tick_at_us : 0;

  probe->last_tick_at_us = board->now;
  if (since_last_tick_us > PAUSE_THRESHOLD_US)
    discount_pause (board, since_last_tick_us);
  if (board->now >= probe->next_period_at_us)
    {
      expire_suspects (board, outbox);
      gspan_members_remove_dead (&board->members, board->now);
      g_hash_table_foreach_remove (probe->forwarded_pings, is_expired, &board->now);
      start_period (board, outbox);
    }
  else if (probe->target_name != NULL && !probe->indirect_pings_sent
           && board->now >= probe->pinged_at_us + DIRECT_PING_TIMEOUT_US)
    probe_indirectly (board, outbox);
}

/*
 * Raises this node's incarnation above the one of ENTRY, an entry about this node, if that says
 * suspect or dead or has a higher incarnation, as after a restart.
 */
static void
refute (struct GspanBoard *board, const gspan_member *entry)
{
  bool must_refute
      = entry->state != GSPAN_MEMBER_ALIVE || entry->incarnation > board->probe.incarnation;

  if (must_refute && !board->draining && entry->incarnation >= board->probe.incarnation)
    board->probe.incarnation = entry->incarnation + 1;
}

static void
merge_entries (struct GspanBoard *board, const gspan_gossip *gossip, struct GspanOutbox *outbox)
{
  merge_entry (board, &gossip->sender, outbox);
  for (guint i = 0; i < gossip->members.members_len; i++)
    {
      const gspan_member *entry = &gossip->members.members_val[i];

      if (strcmp (entry->name, board->self.name) == 0)
        refute (board, entry);
      else
        merge_entry (board, entry, outbox);
    }
}

static void
note_datagram (struct GspanBoard *board, const gspan_gossip *gossip)
{
  struct GspanMember *member = gspan_members_find (&board->members, gossip->sender.name);

  if (member == NULL || gossip->sender.incarnation < member->incarnation)
    return;
  member->last_datagram_at_us = board->now;
  member->records_revision = gossip->complete;
  member->records_digest = gossip->digest;
}

/*
 * The member SENDER if this table has it as suspect or dead or at a higher incarnation, so that the
 * sender gets that entry and can refute it; NULL otherwise.
 */
static const struct GspanMember *
entry_to_refute (const struct GspanBoard *board, const gspan_member *sender)
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
             const struct GspanMember *priority_member, struct GspanOutbox *outbox)
{
  gspan_gossip gossip = { .kind = GSPAN_GOSSIP_ACK, .sequence = sequence };

  send_gossip (board, address, &gossip, priority_member, outbox);
}

static void
on_ping_request (struct GspanBoard *board, const gspan_gossip *gossip, struct GspanOutbox *outbox)
{
  struct ForwardedPing *forwarded;
  guint32 sequence;

  if (g_hash_table_size (board->probe.forwarded_pings) >= FORWARDED_PINGS_MAX)
    return;
  sequence = ping (board, gossip->target, NULL, outbox);
  forwarded = g_new0 (struct ForwardedPing, 1);
  forwarded->requester = g_strdup (gossip->sender.udp);
  forwarded->sequence = gossip->sequence;
  forwarded->expires_at_us = board->now + FORWARDED_PING_TTL_US;
  g_hash_table_replace (board->probe.forwarded_pings, GUINT_TO_POINTER (sequence), forwarded);
}

static void
on_ack (struct GspanBoard *board, guint32 sequence, struct GspanOutbox *outbox)
{
  const struct ForwardedPing *forwarded
      = g_hash_table_lookup (board->probe.forwarded_pings, GUINT_TO_POINTER (sequence));

  if (board->probe.target_name != NULL && sequence == board->probe.target_sequence)
    finish_probe (board);
  if (forwarded == NULL)
    return;
  acknowledge (board, forwarded->requester, forwarded->sequence, NULL, outbox);
  g_hash_table_remove (board->probe.forwarded_pings, GUINT_TO_POINTER (sequence));
}

static void
on_gossip (struct GspanBoard *board, const gspan_gossip *gossip, struct GspanOutbox *outbox)
{
  const gspan_member *sender = &gossip->sender;

  if (strcmp (sender->name, board->self.name) == 0)
    return;
  merge_entries (board, gossip, outbox);
  note_datagram (board, gossip);
  switch (gossip->kind)
    {
    case GSPAN_GOSSIP_PING:
      acknowledge (board, sender->udp, gossip->sequence, entry_to_refute (board, sender), outbox);
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
