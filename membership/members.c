#include "membership/members.h"

#include <string.h>
#include <xxhash.h>

#include "common/clock.h"

#define FORGET_US (60 * GSPAN_SECOND)

enum
{
  GOSSIP_FACTOR = 3 /* an entry goes out so many times the logarithm of the members */
};

static void
member_free (gpointer data)
{
  struct GspanMember *member = data;

  g_free (member->name);
  g_free (member->zone);
  g_free (member->udp);
  g_free (member->rpc);
  g_free (member);
}

void
gspan_members_init (struct GspanMembers *members)
{
  members->change_count = 1;
  members->items = g_ptr_array_new_with_free_func (member_free);
}

void
gspan_members_finish (struct GspanMembers *members)
{
  g_ptr_array_unref (members->items);
}

struct GspanMember *
gspan_members_find (const struct GspanMembers *members, const char *name)
{
  for (guint i = 0; i < members->items->len; i++)
    {
      struct GspanMember *member = g_ptr_array_index (members->items, i);

      if (strcmp (member->name, name) == 0)
        return member;
    }
  return NULL;
}

static void
set_addresses (struct GspanMember *member, const gspan_member *claim)
{
  g_free (member->zone);
  g_free (member->udp);
  g_free (member->rpc);
  member->zone = g_strdup (claim->zone);
  member->udp = g_strdup (claim->udp);
  member->rpc = g_strdup (claim->rpc);
}

static void
set_state (struct GspanMembers *members, struct GspanMember *member, const gspan_member *claim,
           guint64 now)
{
  if (member->state != claim->state || member->incarnation != claim->incarnation)
    member->state_since_us = now;
  members->change_count++;
  member->state = claim->state;
  member->incarnation = claim->incarnation;
  member->gossip_sends_left = GOSSIP_FACTOR * g_bit_storage (members->items->len + 1);
}

static struct GspanMember *
add_member (struct GspanMembers *members, const gspan_member *claim, guint64 now)
{
  struct GspanMember *member = g_new0 (struct GspanMember, 1);

  member->name = g_strdup (claim->name);
  member->state_since_us = now;
  set_addresses (member, claim);
  g_ptr_array_add (members->items, member);
  set_state (members, member, claim, now);
  return member;
}

bool
gspan_members_merge (struct GspanMembers *members, const gspan_member *claim, guint64 now)
{
  struct GspanMember *member = gspan_members_find (members, claim->name);
  gspan_member_state before;

  if (member == NULL)
    {
      if (claim->state == GSPAN_MEMBER_DEAD)
        return false;
      add_member (members, claim, now);
      return true;
    }
  if (claim->incarnation < member->incarnation
      || (claim->incarnation == member->incarnation && claim->state <= member->state))
    return false;
  before = member->state;
  if (claim->incarnation > member->incarnation)
    set_addresses (member, claim);
  set_state (members, member, claim, now);
  return before != member->state;
}

guint
gspan_members_count_live (const struct GspanMembers *members)
{
  guint count = 0;

  for (guint i = 0; i < members->items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (members->items, i);

      count += member->state != GSPAN_MEMBER_DEAD;
    }
  return count;
}

void
gspan_members_begin_vm_list (struct GspanMembers *members)
{
  for (guint i = 0; i < members->items->len; i++)
    {
      struct GspanMember *member = g_ptr_array_index (members->items, i);

      member->in_vm_list = false;
    }
}

void
gspan_members_merge_listed_vm (struct GspanMembers *members, const gspan_member *claim, guint64 now)
{
  struct GspanMember *member = gspan_members_find (members, claim->name);

  if (member == NULL)
    {
      member = add_member (members, claim, now);
      member->gossip_sends_left = 0; /* the others have the same list */
    }
  member->in_vm_list = true;
}

void
gspan_members_remove_dead (struct GspanMembers *members, guint64 now)
{
  for (guint i = members->items->len; i > 0; i--)
    {
      const struct GspanMember *member = g_ptr_array_index (members->items, i - 1);

      if (!member->in_vm_list && member->state == GSPAN_MEMBER_DEAD
          && now > member->state_since_us + FORGET_US)
        {
          g_ptr_array_remove_index (members->items, i - 1);
          members->change_count++;
        }
    }
}

/* Rendezvous hash; names break ties. */
static bool
ranks_above (const char *a, const char *b, const char *key)
{
  guint64 seed = XXH64 (key, strlen (key), 0);
  guint64 x = XXH64 (a, strlen (a), seed);
  guint64 y = XXH64 (b, strlen (b), seed);

  return x != y ? x > y : strcmp (a, b) < 0;
}

static const char *
watcher_name (const struct GspanMember *member, const char *self)
{
  return member != NULL ? member->name : self;
}

/* Puts MEMBER, NULL for this node, among the WATCHERS where it ranks high enough. */
static void
rank (struct GspanWatchers *watchers, const struct GspanMember *member, const char *self,
      const char *zone)
{
  const char *name = watcher_name (member, self);
  guint at = watchers->count;

  while (at > 0 && ranks_above (name, watcher_name (watchers->items[at - 1], self), zone))
    at--;
  if (at == GSPAN_MEMBERS_WATCHERS)
    return;
  watchers->count = MIN (watchers->count + 1, GSPAN_MEMBERS_WATCHERS);
  for (guint i = watchers->count - 1; i > at; i--)
    watchers->items[i] = watchers->items[i - 1];
  watchers->items[at] = member;
}

struct GspanWatchers
gspan_members_watchers (const struct GspanMembers *members, const char *self, const char *zone)
{
  struct GspanWatchers watchers = { 0 };

  if (self != NULL)
    rank (&watchers, NULL, self, zone);
  for (guint i = 0; i < members->items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (members->items, i);

      if (member->state != GSPAN_MEMBER_DEAD && strcmp (member->zone, zone) == 0)
        rank (&watchers, member, self, zone);
    }
  for (guint i = 0; i < watchers.count; i++)
    watchers.includes_self |= watchers.items[i] == NULL;
  return watchers;
}

bool
gspan_members_owns (const struct GspanMembers *members, const char *self, const char *key)
{
  for (guint i = 0; i < members->items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (members->items, i);

      if (member->state != GSPAN_MEMBER_DEAD && ranks_above (member->name, self, key))
        return false;
    }
  return true;
}

const struct GspanMember *
gspan_members_find_ahead (const struct GspanMembers *members, guint64 complete, guint64 digest)
{
  const struct GspanMember *best = NULL;

  for (guint i = 0; i < members->items->len; i++)
    {
      const struct GspanMember *member = g_ptr_array_index (members->items, i);

      if (member->state == GSPAN_MEMBER_DEAD || member->records_revision == 0
          || member->records_revision < complete || member->records_digest == digest)
        continue;
      if (best == NULL || member->records_revision > best->records_revision)
        best = member;
    }
  return best;
}
